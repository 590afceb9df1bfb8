package org.magnoliaswitch.core.process;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.crash.CrashTable;
import org.magnoliaswitch.core.crash.RequestIdentity;
import org.magnoliaswitch.core.crash.SuspicionLevel;
import org.magnoliaswitch.core.crash.Verdict;

/**
 * What one request may do while servers end under requests, and what it did to them; safe for
 * several threads.
 *
 * <p>It is judged twice: by what it asks for, since the same request may come from several
 * addresses, and by that together with its caller, since others may ask for the same and be
 * answered. Whichever is worse holds. While nothing is known of any request, nothing is hashed or
 * looked up.
 */
public final class RequestCrashes {
  /** Ends from which a request gets no further send of the same try. */
  private static final int CRASHES_WITHOUT_RETRY = 2;

  private final CrashWatch watch;
  private final Clocks clocks;
  private final long trialDelayNanos;
  private final Supplier<Identities> identify;
  private final Set<String> unconfirmedCrashes = ConcurrentHashMap.newKeySet();
  private volatile @Nullable Identities identities;
  private volatile @Nullable Long trialPendingSinceNanos;

  /**
   * What a request is.
   *
   * @param content what it asks for
   * @param ofCaller the same, of this caller
   */
  public record Identities(RequestIdentity content, RequestIdentity callerSpecific) {
    /** What it asks for, by itself and of one caller. */
    public static Identities of(RequestIdentity content, String caller) {
      return new Identities(content, content.forCaller(caller));
    }

    List<RequestIdentity> both() {
      return List.of(content, callerSpecific);
    }
  }

  /**
   * Creates one for a request.
   *
   * @param trialNoticeNanos how long a suspect waits for news of other instances' trials before it
   *     goes to a server itself; 0 where requests cannot wait
   * @param identify tells what the request is; called when that matters, perhaps never
   */
  public RequestCrashes(
      CrashWatch watch, Clocks clocks, long trialNoticeNanos, Supplier<Identities> identify) {
    this.watch = watch;
    this.clocks = clocks;
    this.trialDelayNanos = trialNoticeNanos;
    this.identify = identify;
  }

  /** What the request is. */
  public Identities identities() {
    Identities known = identities;
    if (known == null) {
      known = identify.get();
      identities = known;
    }
    return known;
  }

  /** What may be done with the request now. */
  public Verdict verdict() {
    if (watch.isEmpty()) {
      return Verdict.ALLOWED;
    }
    Verdict verdict =
        identities().both().stream()
            .map(watch::verdict)
            .max(Comparator.naturalOrder())
            .orElse(Verdict.ALLOWED);
    return verdict == Verdict.TRIAL && !trialDelayElapsed() ? Verdict.WAIT : verdict;
  }

  /**
   * Whether there was time to hear of trials that began elsewhere. A caller that comes back at once
   * reaches the next instance sooner than the news of its last try, and each instance would risk a
   * server of its own.
   */
  private boolean trialDelayElapsed() {
    long now = clocks.nanos();
    Long since = trialPendingSinceNanos;
    if (since == null) {
      since = now;
      trialPendingSinceNanos = since;
    }
    return now - since >= trialDelayNanos;
  }

  /** Asked right before the request is written; a trial that is granted is told to all. */
  public Verdict admit() {
    Verdict verdict = verdict();
    if (verdict == Verdict.TRIAL) {
      identities().both().stream()
          .filter(identity -> watch.verdict(identity) == Verdict.TRIAL)
          .forEach(watch::recordTrial);
    }
    return verdict;
  }

  /**
   * Whether sends of the request that are under way should be stopped. Many callers may ask for the
   * same at a time, and an answer to one of them clears it; so what is only suspect is stopped for
   * one caller alone.
   *
   * @param trial whether one of them is the trial that shows whether it is the cause
   */
  public boolean mustCancelAttempts(boolean trial) {
    if (watch.isEmpty()) {
      return false;
    }
    CrashTable table = watch.table();
    boolean confirmed = identities().both().stream().anyMatch(table::confirmed);
    boolean suspect = table.suspicionLevel(identities().callerSpecific()) == SuspicionLevel.SUSPECT;
    return confirmed || (suspect && !trial);
  }

  /** Time after which a caller that is turned away may find the request let through. */
  public long retryAfterNanos() {
    CrashTable table = watch.table();
    long now = clocks.nanos();
    return identities().both().stream()
        .filter(identity -> watch.verdict(identity) != Verdict.ALLOWED)
        .mapToLong(identity -> table.nanosUntilTrial(identity, now))
        .reduce(0, Math::max);
  }

  /**
   * A connection to a server ended under the request; whether the server did is being looked at.
   */
  public void mayHaveCrashed(String server) {
    unconfirmedCrashes.add(server);
  }

  /**
   * It has been looked at.
   *
   * @param warned whether the request was known for suspect when it was sent
   */
  public void recordConnectCheck(String server, boolean ended, boolean warned) {
    unconfirmedCrashes.remove(server);
    if (ended) {
      watch.recordCrash(identities().both(), server, warned);
    }
  }

  /**
   * A server has run the request and answered.
   *
   * @param sentNanos when it was sent there
   */
  public void recordAnswer(String server, long sentNanos) {
    if (!watch.isEmpty()) {
      watch.recordAnswer(identities().both(), server, sentNanos);
    }
  }

  /** Whether a further send of this try may follow one that broke or brought a failure. */
  public boolean mayRetry() {
    return suspectedCrashes() < CRASHES_WITHOUT_RETRY;
  }

  /**
   * Whether a second server may get the request while a first one has it. Once a server has ended
   * under it, that would put two at risk at a time.
   */
  public boolean mayHedge() {
    return suspectedCrashes() == 0;
  }

  /** Servers that ended under the request, and those of this try that perhaps did. */
  private int suspectedCrashes() {
    Set<String> all = new HashSet<>(unconfirmedCrashes);
    if (!watch.isEmpty()) {
      identities()
          .both()
          .forEach(identity -> all.addAll(watch.table().serversCrashedDuring(identity)));
    }
    return all.size();
  }
}
