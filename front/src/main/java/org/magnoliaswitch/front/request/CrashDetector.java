package org.magnoliaswitch.front.request;

import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.core.process.RequestCrashes;
import org.magnoliaswitch.core.process.RequestCrashes.Identities;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.process.Environment;

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
   * the port of a process that has exited.
   *
   * @param trial whether the attempt was the trial of a suspect request
   */
  void connectionBroken(ServerPool pool, boolean trial) {
    String server = pool.state().entry().incarnation();
    crashes.mayHaveCrashed(server);
    pool.checkCrashed(
        crashed -> {
          if (crashed) {
            environment.servers().recordUnreachable(pool.state());
            logCrash(server, trial);
          }
          crashes.recordConnectCheck(server, crashed, trial);
        });
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
