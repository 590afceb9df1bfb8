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
 * Decides how one request may be sent in view of crash reports, and reports the crashes and answers
 * that it meets. Thread-safe.
 *
 * <p>A request is judged under two identities: by its content, since the same request may come from
 * several addresses, and by its content together with its caller, since other callers may send the
 * same content and be answered. The stricter verdict applies. While there are no crash reports,
 * nothing is hashed or looked up.
 */
public final class RequestCrashes {
  /** With this number of suspected crashes, the request gets no further attempt. */
  private static final int CRASHES_WITHOUT_RETRY = 2;

  private final CrashWatch watch;
  private final Clocks clocks;
  private final long trialDelayNanos;
  private final Supplier<Identities> identify;
  private final Set<String> unconfirmedCrashes = ConcurrentHashMap.newKeySet();
  private volatile @Nullable Identities identities;
  private volatile @Nullable Long trialPendingSinceNanos;

  /**
   * The identities under which a request is judged.
   *
   * @param content identity of the content
   * @param callerSpecific identity of the content together with the caller
   */
  public record Identities(RequestIdentity content, RequestIdentity callerSpecific) {
    /** Returns the identities of a content sent by a caller. */
    public static Identities of(RequestIdentity content, String caller) {
      return new Identities(content, content.forCaller(caller));
    }

    List<RequestIdentity> both() {
      return List.of(content, callerSpecific);
    }
  }

  /**
   * Creates the state of a request.
   *
   * @param trialDelayNanos how long a suspect request waits for reports of other instances' trials
   *     before its own trial; 0 where a waiting request would block its thread, so that a trial
   *     starts without waiting for these reports
   * @param identify computes the identities; called only if they are needed
   */
  public RequestCrashes(
      CrashWatch watch, Clocks clocks, long trialDelayNanos, Supplier<Identities> identify) {
    this.watch = watch;
    this.clocks = clocks;
    this.trialDelayNanos = trialDelayNanos;
    this.identify = identify;
  }

  /** Returns the identities of the request. */
  public Identities identities() {
    Identities known = identities;
    if (known == null) {
      known = identify.get();
      identities = known;
    }
    return known;
  }

  /** Returns what may be done with the request now. */
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
   * Returns whether there was enough time to receive reports of trials that began elsewhere. A
   * caller that retries at once reaches the next instance before the report of its previous trial
   * does, and each instance would risk a server of its own. With a delay of 0 trials start without
   * waiting for the reports.
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

  /**
   * Returns the verdict right before the request is written; a trial that is granted is reported to
   * all instances.
   */
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
   * Returns whether the attempts in progress must be cancelled. Many callers may send the same
   * content at a time, and an answer to one of them clears it; a request that is only suspect is
   * therefore cancelled only if it is suspect together with its caller.
   *
   * @param trial whether one of the attempts is the trial that shows whether the request is the
   *     cause
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

  /** Returns the time after which the request of a rejected caller may be admitted. */
  public long retryAfterNanos() {
    CrashTable table = watch.table();
    long now = clocks.nanos();
    return identities().both().stream()
        .filter(identity -> watch.verdict(identity) != Verdict.ALLOWED)
        .mapToLong(identity -> table.nanosUntilTrial(identity, now))
        .reduce(0, Math::max);
  }

  /**
   * Records that a connection to a server ended while it served the request; a connect check
   * follows, which shows whether the server crashed.
   */
  public void mayHaveCrashed(String server) {
    unconfirmedCrashes.add(server);
  }

  /**
   * Records the result of the connect check.
   *
   * @param crashed whether the server crashed
   * @param warned whether the request was known as suspect when it was sent
   */
  public void recordConnectCheck(String server, boolean crashed, boolean warned) {
    unconfirmedCrashes.remove(server);
    if (crashed) {
      watch.recordCrash(identities().both(), server, warned);
    }
  }

  /**
   * Records that a server has answered the request.
   *
   * @param sentNanos when the request was sent to the server
   */
  public void recordAnswer(String server, long sentNanos) {
    if (!watch.isEmpty()) {
      watch.recordAnswer(identities().both(), server, sentNanos);
    }
  }

  /**
   * Returns whether a further attempt may follow one that was not sent, whose connection broke or
   * that returned a failure.
   */
  public boolean mayRetry() {
    return suspectedCrashes() < CRASHES_WITHOUT_RETRY;
  }

  /**
   * Returns whether a second server may get the request while a first one has it. Once a server may
   * have crashed while serving it, this would put two servers at risk at a time.
   */
  public boolean mayHedge() {
    return suspectedCrashes() == 0;
  }

  /**
   * Counts the servers that crashed while serving the request, including those whose connect check
   * is pending.
   */
  private int suspectedCrashes() {
    Set<String> servers = new HashSet<>(unconfirmedCrashes);
    if (!watch.isEmpty()) {
      identities()
          .both()
          .forEach(identity -> servers.addAll(watch.table().serversCrashedDuring(identity)));
    }
    return servers.size();
  }
}
