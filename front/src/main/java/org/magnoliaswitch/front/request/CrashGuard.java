package org.magnoliaswitch.front.request;

import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.core.process.RequestCrashes;
import org.magnoliaswitch.core.process.RequestCrashes.Identities;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.process.Environment;

/** Finds out whether servers end under one request, and reports it. */
final class CrashGuard {
  /** News reach all instances in two hops, gathered for a few milliseconds at each. */
  private static final long TRIAL_NOTICE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final Environment environment;
  private final String requestId;
  private final RequestCrashes crashes;

  CrashGuard(Environment environment, CallerRequest request) {
    this.environment = environment;
    this.requestId = request.headers().get(environment.names().requestId(), "");
    this.crashes =
        new RequestCrashes(
            environment.crashes(),
            environment.clocks(),
            TRIAL_NOTICE_NANOS,
            () -> Identities.of(request.identity(), request.caller()));
  }

  /** What the request may do. */
  RequestCrashes crashes() {
    return crashes;
  }

  /**
   * The connection ended under the request. Whether its server did shows by the next connection: a
   * server that lives takes one, and a process that is gone has nobody listening.
   *
   * @param warned whether the request was known for suspect when it was sent
   */
  void broke(ServerPool pool, boolean warned) {
    String server = pool.state().entry().incarnation();
    crashes.perhapsEnded(server);
    pool.checkCrashed(
        ended -> {
          if (ended) {
            environment.servers().recordUnreachable(pool.state());
            tell(server, warned);
          }
          crashes.lookedAt(server, ended, warned);
        });
  }

  private void tell(String server, boolean warned) {
    environment
        .log()
        .failure("server_ended")
        .add("server", server)
        .add("request", requestId)
        .add("identity", crashes.identities().content().toString())
        .add("of_caller", crashes.identities().ofCaller().toString())
        .add("warned", String.valueOf(warned))
        .write();
  }

  /** The server has run the request and answered. */
  void answered(ServerPool pool, long sentNanos) {
    crashes.answered(pool.state().entry().incarnation(), sentNanos);
  }
}
