package org.magnoliaswitch.front.request;

import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.crash.RequestIdentity;
import org.magnoliaswitch.front.crash.Verdict;
import org.magnoliaswitch.front.process.CrashWatch;
import org.magnoliaswitch.front.process.Environment;

/**
 * Keeps one request from servers when servers end under it, and reports what it does to them.
 *
 * <p>While nothing is known of any request, nothing is hashed or looked up.
 */
final class CrashGuard {
  /** Ends from which a request gets no further send of the same try. */
  private static final int ENDS_WITHOUT_REPEAT = 2;

  private final Environment environment;
  private final CrashWatch watch;
  private final CallerRequest request;
  private final Set<String> perhapsEnded = new HashSet<>();
  private @Nullable RequestIdentity identity;

  CrashGuard(Environment environment, CallerRequest request) {
    this.environment = environment;
    this.watch = environment.crashes();
    this.request = request;
  }

  RequestIdentity identity() {
    if (identity == null) {
      identity = request.identity();
    }
    return identity;
  }

  /** What may be done with the request now. */
  Verdict verdict() {
    return watch.quiet() ? Verdict.ALLOWED : watch.verdict(identity());
  }

  /**
   * Whether sends of the request that are under way should be stopped.
   *
   * @param trial whether one of them is the trial that shows whether it is the cause
   */
  boolean stopsSends(boolean trial) {
    if (watch.quiet()) {
      return false;
    }
    return switch (watch.table().standing(identity())) {
      case UNSUSPECTED -> false;
      case SUSPECT -> !trial;
      case CONFIRMED -> true;
    };
  }

  /** Asked right before the request is written; a trial that is granted is told to all. */
  Verdict admit() {
    Verdict verdict = verdict();
    if (verdict == Verdict.TRIAL) {
      watch.tried(identity());
    }
    return verdict;
  }

  /** Time after which a caller that is turned away may find the request let through. */
  long retryAfterNanos() {
    long paused = watch.table().pausedNanos(identity(), environment.clocks().nanos());
    return Math.max(0, paused);
  }

  /**
   * The connection ended under the request. Whether its server did shows by the next connection: a
   * server that lives takes one, and a process that is gone has nobody listening.
   *
   * @param warned whether the request was known for suspect when it was sent
   */
  void broke(ServerPool pool, boolean warned) {
    String server = pool.state().entry().incarnation();
    perhapsEnded.add(server);
    pool.findWhetherEnded(
        ended -> {
          perhapsEnded.remove(server);
          if (ended) {
            environment
                .log()
                .trouble("server_ended")
                .add("server", server)
                .add("request", request.headers().get(environment.names().requestId(), ""))
                .add("identity", identity().toString())
                .add("warned", String.valueOf(warned))
                .write();
            watch.ended(identity(), server, warned);
          }
        });
  }

  /** The server has run the request and answered. */
  void answered(ServerPool pool, long sentNanos) {
    if (!watch.quiet()) {
      watch.answered(identity(), pool.state().entry().incarnation(), sentNanos);
    }
  }

  /** Whether a further send of this try may follow one that broke or brought a failure. */
  boolean mayRepeat() {
    return suspectedEnds() < ENDS_WITHOUT_REPEAT;
  }

  /**
   * Whether a second server may get the request while a first one has it. Once a server has ended
   * under it, that would put two at risk at a time.
   */
  boolean mayHedge() {
    return suspectedEnds() == 0;
  }

  /** Servers that ended under the request, and those of this try that perhaps did. */
  private int suspectedEnds() {
    if (watch.quiet()) {
      return perhapsEnded.size();
    }
    Set<String> all = new HashSet<>(watch.table().endsUnder(identity()));
    all.addAll(perhapsEnded);
    return all.size();
  }
}
