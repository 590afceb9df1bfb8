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
 * Spreads membership, versions and departures by push and pull with random peers.
 *
 * <p>Every interval one random peer is met, which repairs what was missed. News is pushed at once
 * to a few peers, each of which pushes it on when it was news there too, so it spreads in
 * logarithmic time (Demers et al., "Epidemic algorithms for replicated database maintenance",
 * 1987).
 */
public final class Gossip {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int CALL_TIMEOUT_MILLIS = 1_000;

  /** Share of meetings with a configured seed, so that separated groups find each other again. */
  private static final double SEED_SHARE = 0.05;

  /**
   * Share of meetings with a peer that a connection is kept to. Opening one costs more bytes than a
   * meeting; the others bring in new peers, so that the kept ones change all the time.
   */
  private static final double KEPT_SHARE = 0.8;

  private static final int MAX_PUSHES_AT_ONCE = 16;

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
  private final Semaphore pushes = new Semaphore(MAX_PUSHES_AT_ONCE);

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

  /** Meets one random peer; called every interval. */
  public void meetOne() {
    List<Address> peers = pick(1);
    peers.forEach(this::meet);
  }

  /** Meets as many peers as are known, up to a bound; returns how many answered. */
  public int meetMany(int bound) {
    int answered = 0;
    for (Address peer : pick(bound)) {
      answered += meet(peer) ? 1 : 0;
    }
    return answered;
  }

  /** Tells a few peers at once; called when there is news. */
  public void pushNews() {
    for (Address peer : pick(settings.eagerPeers())) {
      push(peer);
    }
  }

  /** Takes a peer's summary and returns this instance's own. */
  public GossipDigest answer(GossipDigest received) {
    merge(received);
    return digest();
  }

  /** The summary of this instance. */
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

  /** A few peers, chosen as for news. */
  List<Address> fewPeers() {
    return pick(settings.eagerPeers());
  }

  private void push(Address peer) {
    if (!pushes.tryAcquire()) {
      return;
    }
    try {
      executor.execute(
          () -> {
            try {
              meet(peer);
            } finally {
              pushes.release();
            }
          });
    } catch (RejectedExecutionException e) {
      pushes.release();
    }
  }

  private boolean meet(Address peer) {
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
    contact.made();
    timeline.clock().merge(received.time());
    boolean news = false;
    for (Member member : received.members()) {
      news |= mergeMember(member);
    }
    for (LeavingNotice mark : received.leaving()) {
      if (leaving.merge(mark)) {
        timeline.record(
            EventKind.SERVER_LEAVING, "", "", mark.server(), "sign=peer leaving=" + mark.leaving());
        news = true;
      }
    }
    if (version.wants(received.version(), received.manifest()) && !received.members().isEmpty()) {
      fetch(received);
    }
    if (news) {
      pushNews();
    }
  }

  private void fetch(GossipDigest received) {
    Address sender = received.members().getFirst().peerAddress();
    executor.execute(
        () -> {
          if (follower.followPeer(sender, received.version(), received.manifest())) {
            pushNews();
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
    List<Address> others = new ArrayList<>(seeds);
    others.remove(membership.self().peerAddress());
    List<Address> kept = new ArrayList<>(client.connectedPeers());
    kept.retainAll(known);
    List<Address> picked = new ArrayList<>();
    for (int tries = 0; tries < 3 * count && picked.size() < count; tries++) {
      List<Address> pool = pool(known, others, kept);
      if (!pool.isEmpty()) {
        Address next = pool.get(random.nextInt(pool.size()));
        if (!picked.contains(next)) {
          picked.add(next);
        }
      }
    }
    return picked;
  }

  private List<Address> pool(List<Address> known, List<Address> others, List<Address> kept) {
    double draw = random.nextDouble();
    if (known.isEmpty() || (draw < SEED_SHARE && !others.isEmpty())) {
      return others;
    }
    return draw < KEPT_SHARE && !kept.isEmpty() ? kept : known;
  }

  /**
   * Milliseconds until this instance next reads the head row, so that all together stay in bounds.
   */
  public long nextStorePollMillis() {
    long mean = (long) settings.storePollMillis() * Math.max(1, membership.size());
    return mean / 2 + random.nextLong(mean);
  }

  /** Milliseconds until the next meeting, jittered so that instances do not march in step. */
  public long nextMeetingMillis() {
    return settings.intervalMillis() * 3L / 4 + random.nextLong(settings.intervalMillis() / 2);
  }
}
