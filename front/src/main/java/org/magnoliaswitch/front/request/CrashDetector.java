package org.magnoliaswitch.front.request;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.core.process.RequestCrashes;
import org.magnoliaswitch.core.process.RequestCrashes.Identities;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.process.ServiceReach;

/** Detects whether servers crash while serving one request, and reports it. */
final class CrashDetector {
  /**
   * Time until all instances know of a trial: updates reach them in two hops and are batched for a
   * few milliseconds at each.
   */
  private static final long TRIAL_PROPAGATION_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final Environment environment;
  private final String requestId;
  private final RequestCrashes crashes;

  CrashDetector(Environment environment, CallerRequest request) {
    this.environment = environment;
    this.requestId = request.headers().get(environment.names().requestId(), "");
    this.crashes =
        new RequestCrashes(
            environment.crashes(),
            environment.clocks(),
            TRIAL_PROPAGATION_NANOS,
            () -> Identities.of(request.identity(), request.caller()));
  }

  /** State of the request as a possible cause of crashes. */
  RequestCrashes crashes() {
    return crashes;
  }

  /**
   * Handles a connection that broke while its server had the request. Whether the server crashed
   * shows when another connection is opened: a running server accepts it, while nobody listens at
   * the port of a process that has exited. Other instances are asked at the same time, since a link
   * that this instance has lost may refuse connections, too, which is no fault of the request.
   *
   * @param trial whether the attempt was the trial of a suspect request
   */
  void connectionBroken(ServerPool pool, boolean trial) {
    crashes.mayHaveCrashed(pool.state().entry().incarnation());
    new Check(pool, trial).start();
  }

  /** The check after a broken connection, by this instance and by others at the same time. */
  private final class Check {
    private final ServerPool pool;
    private final boolean trial;
    private boolean refusedHere;
    private boolean othersAsked;
    private Optional<Boolean> refusedToOthers = Optional.empty();

    Check(ServerPool pool, boolean trial) {
      this.pool = pool;
      this.trial = trial;
    }

    void start() {
      pool.checkCrashed(this::recordOwn);
      pool.checkRefusedToOthers(this::recordOthers);
    }

    private void recordOwn(boolean refused) {
      refusedHere = refused;
      if (!refused) {
        end(false);
        return;
      }
      environment.servers().recordUnreachable(pool.state());
      evaluate();
    }

    private void recordOthers(Optional<Boolean> refused) {
      othersAsked = true;
      refusedToOthers = refused;
      evaluate();
    }

    private void evaluate() {
      if (!refusedHere || !othersAsked) {
        return;
      }
      if (refusedToOthers.orElse(true)) {
        environment.servers().reach().check(pool, this::presumedCrashed, this::compare);
      } else {
        end(false);
      }
    }

    private boolean presumedCrashed(ServerPool other) {
      return environment.crashes().table().presumedCrashed(other.state().entry().incarnation());
    }

    /**
     * Decides by the other servers. If none of them is in reach either, the likelier cause is that
     * all instances have lost the path.
     */
    private void compare(ServiceReach.Result others) {
      end(others != ServiceReach.Result.NOT_REACHED);
    }

    private void end(boolean crashed) {
      if (crashed) {
        logCrash(pool.state().entry().incarnation(), trial);
      }
      crashes.recordConnectCheck(pool.state().entry().incarnation(), crashed, trial);
    }
  }

  private void logCrash(String server, boolean trial) {
    environment
        .log()
        .failure("server_ended")
        .add("server", server)
        .add("request", requestId)
        .add("identity", crashes.identities().content().toString())
        .add("of_caller", crashes.identities().callerSpecific().toString())
        .add("warned", String.valueOf(trial))
        .write();
  }

  /** Records that the server has executed the request and answered. */
  void answered(ServerPool pool, long sentNanos) {
    crashes.recordAnswer(pool.state().entry().incarnation(), sentNanos);
  }
}
