package org.magnoliaswitch.core.process;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.peer.Claim;
import org.magnoliaswitch.core.peer.ClaimResult;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.peer.PeerClient;
import org.magnoliaswitch.core.peer.PeerMessage;

/**
 * Claims callers' own keys through a few instances, so that more claims share a transaction.
 *
 * <p>Which instance performs a claim affects only the cost: the table row decides who holds the
 * key. Instances with different views of the membership select different claiming instances, and
 * one that does not answer is bypassed.
 */
public final class ClaimService implements KeyClaims {
  /**
   * Number of instances that claim the keys of all instances; each limits its transactions by the
   * claim window.
   */
  private static final int CLAIMING_INSTANCES = 3;

  private static final int MAX_CONCURRENT_TRANSACTIONS = 4;

  private final ClaimBatcher batcher;
  private final Membership membership;
  private final PeerClient peers;
  private final ScheduledExecutorService timer;
  private final Clocks clocks;
  private final AtomicBoolean scheduled = new AtomicBoolean();
  private final Semaphore transactions = new Semaphore(MAX_CONCURRENT_TRANSACTIONS);

  public ClaimService(
      ClaimBatcher batcher,
      Membership membership,
      PeerClient peers,
      ScheduledExecutorService timer,
      Clocks clocks) {
    this.batcher = batcher;
    this.membership = membership;
    this.peers = peers;
    this.timer = timer;
    this.clocks = clocks;
  }

  @Override
  public ClaimResult claim(Claim claim, int windowMillis, long waitNanos) {
    int waitMillis = (int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(waitNanos));
    Member via = claimingInstance(claim.key());
    if (!via.incarnation().equals(membership.self().incarnation())) {
      long sinceNanos = clocks.nanos();
      ClaimResult remote = claimThrough(via, claim, windowMillis, waitMillis / 2);
      if (remote.status() == ClaimResult.Status.GRANTED && remote.row() == 0) {
        batcher.remember(claim, sinceNanos);
      }
      if (remote.status() != ClaimResult.Status.UNAVAILABLE) {
        return remote;
      }
    }
    return await(add(claim, windowMillis), waitMillis / 2);
  }

  @Override
  public Optional<String> holder(String key) {
    return batcher.holder(key);
  }

  @Override
  public OptionalLong retryAfterSeconds(long retentionSeconds) {
    return batcher.retryAfterSeconds(retentionSeconds);
  }

  /** Claims keys for a peer in this instance's transactions. */
  public List<ClaimResult> claimForPeer(List<Claim> claims, int windowMillis, int waitMillis) {
    List<CompletableFuture<ClaimResult>> results = new ArrayList<>();
    claims.forEach(claim -> results.add(add(claim, windowMillis)));
    return results.stream().map(result -> await(result, waitMillis)).toList();
  }

  private ClaimResult claimThrough(Member via, Claim claim, int windowMillis, int waitMillis) {
    try {
      PeerMessage reply =
          peers.call(
              via.peerAddress(),
              new PeerMessage.ClaimKeys(List.of(claim), windowMillis, waitMillis),
              waitMillis);
      return reply instanceof PeerMessage.ClaimResults results && results.results().size() == 1
          ? results.results().getFirst()
          : ClaimResult.NO_ANSWER;
    } catch (IOException e) {
      return ClaimResult.NO_ANSWER;
    }
  }

  private CompletableFuture<ClaimResult> add(Claim claim, int windowMillis) {
    CompletableFuture<ClaimResult> result = batcher.add(claim);
    schedule(windowMillis);
    return result;
  }

  private void schedule(int windowMillis) {
    if (scheduled.compareAndSet(false, true)) {
      var unused =
          timer.schedule(
              () -> Thread.ofVirtual().name("claims").start(() -> flush(windowMillis)),
              windowMillis,
              TimeUnit.MILLISECONDS);
    }
  }

  private void flush(int windowMillis) {
    scheduled.set(false);
    transactions.acquireUninterruptibly();
    try {
      batcher.flush();
    } finally {
      transactions.release();
    }
    if (batcher.hasPending()) {
      schedule(windowMillis);
    }
  }

  private static ClaimResult await(CompletableFuture<ClaimResult> result, int waitMillis) {
    try {
      return result.get(Math.max(1, waitMillis), TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      return ClaimResult.NO_ANSWER;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ClaimResult.NO_ANSWER;
    }
  }

  /** Selects one of the first live instances in hash order, by rendezvous hashing with the key. */
  private Member claimingInstance(String key) {
    List<Member> members = new ArrayList<>(membership.livePeers());
    members.add(membership.self());
    members.sort(Comparator.comparing(member -> hash(member.incarnation())));
    List<Member> claiming = members.subList(0, Math.min(CLAIMING_INSTANCES, members.size()));
    return claiming.stream()
        .max(Comparator.comparing(member -> hash(member.incarnation() + key)))
        .orElse(membership.self());
  }

  private static long hash(String text) {
    return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
  }
}
