package org.magnoliaswitch.core.process;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.Semaphore;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.core.peer.Address;
import org.magnoliaswitch.core.peer.GossipDigest;
import org.magnoliaswitch.core.peer.LeavingNotice;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.peer.PeerClient;
import org.magnoliaswitch.core.peer.PeerMessage;
import org.magnoliaswitch.core.version.Snapshot;

/**
 * Spreads membership, versions and leaving notices by push-pull exchanges with random peers.
 *
 * <p>At each interval an exchange with one random peer repairs what was missed. Updates are pushed
 * at once to a few peers, each of which pushes them on if they were new to it, so they spread in
 * logarithmic time (Demers et al., "Epidemic algorithms for replicated database maintenance",
 * 1987).
 */
public final class Gossip {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int CALL_TIMEOUT_MILLIS = 1_000;

  /** Share of exchanges with a configured seed, so that separated groups find each other again. */
  private static final double SEED_SHARE = 0.05;

  /**
   * Share of exchanges with a seed or with a peer to which a connection is kept. Opening a
   * connection costs more bytes than an exchange; the remaining exchanges bring in new peers, so
   * that the kept connections change continually.
   */
  private static final double CONNECTED_SHARE = 0.8;

  private static final int MAX_CONCURRENT_PUSHES = 16;

  private final GossipSettings settings;
  private final List<Address> seeds;
  private final Membership membership;
  private final LastContact contact;
  private final LeavingServers leaving;
  private final CurrentVersion version;
  private final ConfigurationFollower follower;
  private final PeerClient client;
  private final Timeline timeline;
  private final RandomGenerator random;
  private final Executor executor;
  private final Semaphore pushes = new Semaphore(MAX_CONCURRENT_PUSHES);

  public Gossip(
      GossipSettings settings,
      List<Address> seeds,
      ControlState state,
      ConfigurationFollower follower,
      PeerClient client,
      RandomGenerator random,
      Executor executor) {
    this.settings = settings;
    this.seeds = List.copyOf(seeds);
    this.membership = state.membership();
    this.contact = state.contact();
    this.leaving = state.leaving();
    this.version = state.version();
    this.timeline = state.timeline();
    this.follower = follower;
    this.client = client;
    this.random = random;
    this.executor = executor;
  }

  /** Exchanges digests with one random peer; called at each interval. */
  public void exchangeWithRandomPeer() {
    List<Address> peers = pick(1);
    peers.forEach(this::exchange);
  }

  /** Exchanges digests with random peers, up to the given number; returns how many answered. */
  public int exchangeWithPeers(int maxPeers) {
    int answered = 0;
    for (Address peer : pick(maxPeers)) {
      answered += exchange(peer) ? 1 : 0;
    }
    return answered;
  }

  /**
   * Exchanges digests with a few random peers at once; called when the state of this instance has
   * changed.
   */
  public void pushUpdate() {
    for (Address peer : pick(settings.pushFanout())) {
      push(peer);
    }
  }

  /** Merges a peer's digest and returns that of this instance. */
  public GossipDigest answer(GossipDigest received) {
    merge(received);
    return digest();
  }

  /** Returns the digest of this instance's state. */
  public GossipDigest digest() {
    Snapshot snapshot = version.get();
    var time = timeline.clock().next();
    return new GossipDigest(
        time.millis(),
        time.counter(),
        snapshot.version(),
        snapshot.digest(),
        membership.sample(settings.sampleSize(), random),
        leaving.recent());
  }

  /** Returns a few random peers to which an update is pushed. */
  List<Address> pushTargets() {
    return pick(settings.pushFanout());
  }

  private void push(Address peer) {
    if (!pushes.tryAcquire()) {
      return;
    }
    try {
      executor.execute(
          () -> {
            try {
              exchange(peer);
            } finally {
              pushes.release();
            }
          });
    } catch (RejectedExecutionException e) {
      pushes.release();
    }
  }

  private boolean exchange(Address peer) {
    try {
      PeerMessage reply = client.call(peer, new PeerMessage.Gossip(digest()), CALL_TIMEOUT_MILLIS);
      if (reply instanceof PeerMessage.Gossip gossip) {
        merge(gossip.digest());
        return true;
      }
    } catch (IOException e) {
      logger.atFine().log("event=gossip_failed peer=%s cause=%s", peer, e);
    }
    return false;
  }

  private void merge(GossipDigest received) {
    contact.recordContact();
    timeline.clock().merge(received.time());
    boolean changed = false;
    for (Member member : received.members()) {
      changed |= mergeMember(member);
    }
    for (LeavingNotice notice : received.leaving()) {
      if (leaving.merge(notice)) {
        timeline.record(
            EventKind.SERVER_LEAVING,
            "",
            "",
            notice.server(),
            "sign=peer leaving=" + notice.leaving());
        changed = true;
      }
    }
    if (version.shouldFetch(received.version(), received.manifest())
        && !received.members().isEmpty()) {
      fetch(received);
    }
    if (changed) {
      pushUpdate();
    }
  }

  private void fetch(GossipDigest received) {
    Address sender = received.members().getFirst().peerAddress();
    executor.execute(
        () -> {
          if (follower.followPeer(sender, received.version(), received.manifest())) {
            pushUpdate();
          }
        });
  }

  private boolean mergeMember(Member member) {
    return switch (membership.merge(member)) {
      case NONE -> false;
      case JOINED -> {
        timeline.record(EventKind.MEMBER_JOINED, describe(member));
        yield true;
      }
      case LEFT -> {
        timeline.record(EventKind.MEMBER_LEFT, describe(member));
        yield true;
      }
    };
  }

  private static String describe(Member member) {
    return "member=" + member.instance() + " incarnation=" + member.incarnation();
  }

  private List<Address> pick(int count) {
    List<Address> known = new ArrayList<>(membership.peerAddresses());
    List<Address> otherSeeds = new ArrayList<>(seeds);
    otherSeeds.remove(membership.self().peerAddress());
    List<Address> connected = new ArrayList<>(client.connectedPeers());
    connected.retainAll(known);
    List<Address> picked = new ArrayList<>();
    for (int attempts = 0; attempts < 3 * count && picked.size() < count; attempts++) {
      List<Address> candidates = candidates(known, otherSeeds, connected);
      if (!candidates.isEmpty()) {
        Address next = candidates.get(random.nextInt(candidates.size()));
        if (!picked.contains(next)) {
          picked.add(next);
        }
      }
    }
    return picked;
  }

  private List<Address> candidates(
      List<Address> known, List<Address> otherSeeds, List<Address> connected) {
    double draw = random.nextDouble();
    if (known.isEmpty() || (draw < SEED_SHARE && !otherSeeds.isEmpty())) {
      return otherSeeds;
    }
    return draw < CONNECTED_SHARE && !connected.isEmpty() ? connected : known;
  }

  /**
   * Returns the milliseconds until this instance next reads the head row. The interval grows with
   * the number of instances, so that the reads of all instances together stay bounded.
   */
  public long nextStorePollMillis() {
    long mean = (long) settings.storePollMillis() * Math.max(1, membership.size());
    return mean / 2 + random.nextLong(mean);
  }

  /**
   * Returns the milliseconds until the next exchange, with jitter so that the instances do not
   * synchronize.
   */
  public long nextExchangeMillis() {
    return settings.intervalMillis() * 3L / 4 + random.nextLong(settings.intervalMillis() / 2);
  }
}
