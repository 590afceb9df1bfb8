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
 * The entry instances this one knows of, by incarnation.
 *
 * <p>The view may lag or be wrong; nothing that must hold depends on it. It decides only whom to
 * gossip with, how servers are shared out and whom to ask about a key.
 */
public final class Membership {
  /** Silence after which a member counts as gone, before the term for the number of members. */
  private static final long BASE_SILENCE_MILLIS = 8_000;

  /** Each member more makes news of any one of them rarer, as samples are of fixed size. */
  private static final long SILENCE_PER_MEMBER_MILLIS = 400;

  /** How long a departed incarnation is remembered, so that old news cannot bring it back. */
  private static final long REMEMBER_NANOS = TimeUnit.MINUTES.toNanos(30);

  /** What a change in the view was. */
  public enum Change {
    NONE,
    JOINED,
    LEFT
  }

  private record Known(Member member, long heardNanos, long changedNanos) {}

  private final Clocks clocks;
  private final Member self;
  private final Map<String, Known> known = new ConcurrentHashMap<>();
  private volatile boolean leaving;

  public Membership(Member self, Clocks clocks) {
    this.self = self;
    this.clocks = clocks;
  }

  /** This instance, with a heartbeat of now. */
  public Member self() {
    return self.withHeartbeat(clocks.millis(), leaving ? MemberState.LEAVING : MemberState.SERVING);
  }

  /** Makes this instance tell others that it leaves; final. */
  public void leave() {
    leaving = true;
  }

  /** Whether this instance is leaving. */
  public boolean leaving() {
    return leaving;
  }

  /** Takes news of a member; older news and news of this incarnation change nothing. */
  public Change merge(Member news) {
    if (news.incarnation().equals(self.incarnation())) {
      return Change.NONE;
    }
    long now = clocks.nanos();
    Known[] replaced = new Known[1];
    Known result =
        known.merge(
            news.incarnation(),
            new Known(news, now, now),
            (before, fresh) -> {
              replaced[0] = before;
              return newer(before, fresh);
            });
    if (replaced[0] == null) {
      return news.state() == MemberState.LEAVING ? Change.NONE : Change.JOINED;
    }
    boolean leftNow =
        result.member().state() == MemberState.LEAVING
            && replaced[0].member().state() == MemberState.SERVING;
    return leftNow ? Change.LEFT : Change.NONE;
  }

  /** Members that serve as far as this instance knows, itself left out. */
  public List<Member> livePeers() {
    long now = clocks.nanos();
    long silence = silenceNanos();
    List<Member> live = new ArrayList<>();
    for (Known entry : known.values()) {
      if (entry.member().state() == MemberState.SERVING && now - entry.heardNanos() < silence) {
        live.add(entry.member());
      }
    }
    return live;
  }

  /** Live instances, this one included. */
  public int size() {
    return livePeers().size() + (leaving ? 0 : 1);
  }

  /** The live member of an incarnation. */
  public Optional<Member> live(String incarnation) {
    Known entry = known.get(incarnation);
    if (entry == null || clocks.nanos() - entry.heardNanos() >= silenceNanos()) {
      return Optional.empty();
    }
    return Optional.of(entry.member());
  }

  /** A bounded sample for gossip: this instance, the latest changes, then random members. */
  public List<Member> sample(int size, RandomGenerator random) {
    List<Known> all = new ArrayList<>(known.values());
    long now = clocks.nanos();
    long silence = silenceNanos();
    all.removeIf(entry -> now - entry.heardNanos() >= silence);
    all.sort(Comparator.comparingLong((Known entry) -> now - entry.changedNanos()));
    List<Member> sample = new ArrayList<>();
    sample.add(self());
    int newest = Math.min(all.size(), size / 2);
    for (Known entry : all.subList(0, newest)) {
      sample.add(entry.member());
    }
    List<Known> rest = new ArrayList<>(all.subList(newest, all.size()));
    Collections.shuffle(rest, java.util.Random.from(random));
    for (Known entry : rest.subList(0, Math.min(rest.size(), size - newest))) {
      sample.add(entry.member());
    }
    return sample;
  }

  /** Addresses of live peers. */
  public Collection<Address> peerAddresses() {
    return livePeers().stream().map(Member::peerAddress).toList();
  }

  /** This instance's rank among the live ones of its data centre, for even shares. */
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
   * A position among instances.
   *
   * @param index 0-based position
   * @param size number of instances
   */
  public record Rank(int index, int size) {}

  /** Forgets members that have been silent for long. */
  public void expire() {
    long now = clocks.nanos();
    known.values().removeIf(entry -> now - entry.heardNanos() > REMEMBER_NANOS);
  }

  private long silenceNanos() {
    long millis = BASE_SILENCE_MILLIS + SILENCE_PER_MEMBER_MILLIS * known.size();
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static Known newer(Known before, Known fresh) {
    boolean beforeLeft = before.member().state() == MemberState.LEAVING;
    boolean freshLeft = fresh.member().state() == MemberState.LEAVING;
    // Leaving is final for an incarnation: news from before it left cannot undo it.
    if (beforeLeft && !freshLeft) {
      return before;
    }
    if (!beforeLeft && freshLeft) {
      return fresh;
    }
    if (fresh.member().heartbeat() <= before.member().heartbeat()) {
      return before;
    }
    return new Known(fresh.member(), fresh.heardNanos(), before.changedNanos());
  }
}
