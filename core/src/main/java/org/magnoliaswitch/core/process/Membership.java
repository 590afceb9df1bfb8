package org.magnoliaswitch.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.peer.Address;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.peer.MemberState;

/**
 * The entry instances known to this instance, by incarnation.
 *
 * <p>The view may lag or be wrong; no guarantee depends on it. It only determines with which peers
 * to gossip, how servers are distributed and which instance to ask about a key.
 */
public final class Membership {
  /** Time without updates after which a member counts as gone, before the addition per member. */
  private static final long BASE_TIMEOUT_MILLIS = 8_000;

  /**
   * Addition per known member: as samples have a fixed size, updates of each member become rarer
   * with their number.
   */
  private static final long TIMEOUT_PER_MEMBER_MILLIS = 400;

  /** How long a departed incarnation is kept, so that outdated updates cannot add it again. */
  private static final long DEPARTED_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(30);

  /** Effect of an update on the view. */
  public enum Change {
    NONE,
    JOINED,
    LEFT
  }

  private record Entry(Member member, long receivedNanos, long changedNanos) {}

  private final Clocks clocks;
  private final Member self;
  private final Map<String, Entry> entries = new ConcurrentHashMap<>();
  private volatile boolean leaving;

  public Membership(Member self, Clocks clocks) {
    this.self = self;
    this.clocks = clocks;
  }

  /** Returns this instance with a current heartbeat. */
  public Member self() {
    return self.withHeartbeat(clocks.millis(), leaving ? MemberState.LEAVING : MemberState.SERVING);
  }

  /** Marks this instance as leaving; cannot be undone. */
  public void leave() {
    leaving = true;
  }

  /** Returns whether this instance is leaving. */
  public boolean leaving() {
    return leaving;
  }

  /**
   * Merges an update of a member; outdated updates and those of this incarnation have no effect.
   */
  public Change merge(Member update) {
    if (update.incarnation().equals(self.incarnation())) {
      return Change.NONE;
    }
    long now = clocks.nanos();
    Entry[] replaced = new Entry[1];
    Entry result =
        entries.merge(
            update.incarnation(),
            new Entry(update, now, now),
            (before, fresh) -> {
              replaced[0] = before;
              return newer(before, fresh);
            });
    if (replaced[0] == null) {
      return update.state() == MemberState.LEAVING ? Change.NONE : Change.JOINED;
    }
    boolean leftNow =
        result.member().state() == MemberState.LEAVING
            && replaced[0].member().state() == MemberState.SERVING;
    return leftNow ? Change.LEFT : Change.NONE;
  }

  /** Returns the other members that are serving, as far as is known. */
  public List<Member> livePeers() {
    long now = clocks.nanos();
    long timeout = timeoutNanos();
    List<Member> live = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.member().state() == MemberState.SERVING && now - entry.receivedNanos() < timeout) {
        live.add(entry.member());
      }
    }
    return live;
  }

  /** Returns the number of live instances, including this one unless it is leaving. */
  public int size() {
    return livePeers().size() + (leaving ? 0 : 1);
  }

  /** Returns the member of an incarnation, also one that is leaving, if it has not timed out. */
  public Optional<Member> live(String incarnation) {
    Entry entry = entries.get(incarnation);
    if (entry == null || clocks.nanos() - entry.receivedNanos() >= timeoutNanos()) {
      return Optional.empty();
    }
    return Optional.of(entry.member());
  }

  /**
   * Returns a sample for gossip: this instance, the members that changed last, then random ones.
   */
  public List<Member> sample(int size, RandomGenerator random) {
    List<Entry> all = new ArrayList<>(entries.values());
    long now = clocks.nanos();
    long timeout = timeoutNanos();
    all.removeIf(entry -> now - entry.receivedNanos() >= timeout);
    all.sort(Comparator.comparingLong((Entry entry) -> now - entry.changedNanos()));
    List<Member> sample = new ArrayList<>();
    sample.add(self());
    int newest = Math.min(all.size(), size / 2);
    for (Entry entry : all.subList(0, newest)) {
      sample.add(entry.member());
    }
    List<Entry> rest = new ArrayList<>(all.subList(newest, all.size()));
    Collections.shuffle(rest, java.util.Random.from(random));
    for (Entry entry : rest.subList(0, Math.min(rest.size(), size - newest))) {
      sample.add(entry.member());
    }
    return sample;
  }

  /** Returns the addresses of the live peers. */
  public Collection<Address> peerAddresses() {
    return livePeers().stream().map(Member::peerAddress).toList();
  }

  /** Returns the rank of this instance among the live instances, for even shares. */
  public Rank rank() {
    List<String> ids = new ArrayList<>();
    ids.add(self.incarnation());
    for (Member member : livePeers()) {
      ids.add(member.incarnation());
    }
    Collections.sort(ids);
    return new Rank(ids.indexOf(self.incarnation()), ids.size());
  }

  /**
   * Position of an instance among the live instances.
   *
   * @param index position, starting at 0
   * @param size number of instances
   */
  public record Rank(int index, int size) {}

  /** Removes the members without updates for a long time. */
  public void expire() {
    long now = clocks.nanos();
    entries.values().removeIf(entry -> now - entry.receivedNanos() > DEPARTED_RETENTION_NANOS);
  }

  private long timeoutNanos() {
    long millis = BASE_TIMEOUT_MILLIS + TIMEOUT_PER_MEMBER_MILLIS * entries.size();
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static Entry newer(Entry before, Entry fresh) {
    boolean beforeLeft = before.member().state() == MemberState.LEAVING;
    boolean freshLeft = fresh.member().state() == MemberState.LEAVING;
    // Leaving is final for an incarnation: an update from before it left cannot undo it.
    if (beforeLeft && !freshLeft) {
      return before;
    }
    if (!beforeLeft && freshLeft) {
      return fresh;
    }
    if (fresh.member().heartbeat() <= before.member().heartbeat()) {
      return before;
    }
    return new Entry(fresh.member(), fresh.receivedNanos(), before.changedNanos());
  }
}
