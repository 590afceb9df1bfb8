package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.connection.CallerResponse;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.testing.Requests;
import org.magnoliaswitch.front.testing.ScriptedServer;
import org.magnoliaswitch.front.testing.ScriptedServer.Script;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.magnoliaswitch.front.version.CallerLimits;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.Revision;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServicePolicy;
import org.magnoliaswitch.front.version.Warmup;
import org.testng.annotations.Test;

/** Requests while an operator evacuates the data centre of their servers. */
public final class EvacuationTest {
  private static final long MINUTE = TimeUnit.MINUTES.toNanos(1);
  private static final Script SUCCEED = request -> request.respond(200, "ok");
  private static final Route NON_IDEMPOTENT_ROUTE = Requests.route(false);
  private static final Route IDEMPOTENT_ROUTE = Requests.route(true);

  private static void evacuate(Environment environment, long version, String... dataCentres)
      throws InterruptedException {
    CountDownLatch applied = new CountDownLatch(1);
    environment
        .loop()
        .execute(
            () -> {
              environment
                  .servers()
                  .evacuate(new Evacuations(Revision.of(0, version), Set.of(dataCentres)));
              applied.countDown();
            });
    applied.await();
  }

  /**
   * A non-idempotent request is being executed when its data centre is evacuated. The caller must
   * get its response: an evacuation keeps new requests away and does not affect those in flight.
   */
  @Test
  public void requestsInFlightComplete() throws IOException, InterruptedException {
    CountDownLatch released = new CountDownLatch(1);
    Script hold =
        request -> {
          released.await();
          return request.respond(200, "done");
        };
    try (ScriptedServer server = new ScriptedServer("a", hold)) {
      Environment environment = TestEnvironment.with(NON_IDEMPOTENT_ROUTE, server);
      CompletableFuture<CallerResponse> response = Requests.send(environment);
      server.awaitFirst();
      evacuate(environment, 1, "here");
      released.countDown();
      assertEquals(response.join().status().code(), 200);
      environment.loop().stop();
    }
  }

  /**
   * Every data centre of a service is evacuated. Its callers must be told at once that their
   * requests were not executed and when to retry; nothing may reach a server, not even on a kept
   * connection.
   */
  @Test
  public void requestsAreRefusedWhenAllDataCentresAreEvacuated()
      throws IOException, InterruptedException {
    try (ScriptedServer server = new ScriptedServer("a", SUCCEED)) {
      Environment environment = TestEnvironment.with(IDEMPOTENT_ROUTE, server);
      assertEquals(Requests.send(environment).join().status().code(), 200);
      evacuate(environment, 1, "here");
      CallerResponse refusal = Requests.send(environment).join();
      assertEquals(refusal.status().code(), 503);
      assertTrue(refusal.headers().contains("Retry-After"));
      assertEquals(server.received().size(), 1);
      evacuate(environment, 2);
      assertEquals(Requests.send(environment).join().status().code(), 200);
      environment.loop().stop();
    }
  }

  /**
   * A server rejects an idempotent request right after its data centre was evacuated. The further
   * attempt must not go to the second server there, although it has capacity.
   */
  @Test
  public void furtherAttemptsAvoidEvacuatedServers() throws IOException, InterruptedException {
    CountDownLatch released = new CountDownLatch(1);
    Script reject =
        request -> {
          released.await();
          request.write(
              "HTTP/1.1 503 X\r\nRequest-Id: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
          return true;
        };
    try (ScriptedServer first = new ScriptedServer("a", reject);
        ScriptedServer second = new ScriptedServer("b", reject)) {
      Environment environment = TestEnvironment.with(IDEMPOTENT_ROUTE, first, second);
      CompletableFuture<CallerResponse> response = Requests.send(environment);
      while (first.received().size() + second.received().size() == 0) {
        Thread.onSpinWait();
      }
      evacuate(environment, 1, "here");
      released.countDown();
      assertEquals(response.join().status().code(), 503);
      assertEquals(first.received().size() + second.received().size(), 1);
      environment.loop().stop();
    }
  }

  /**
   * After an evacuation ends, the servers count as cold, and this instance is not selected to send
   * to any of them until a health check reports that its server is warm. It must send from then on;
   * otherwise a third of the slots would be idle while callers are refused.
   */
  @Test(timeOut = 20_000)
  public void serversThatReportToBeWarmAreUsedImmediately()
      throws IOException, InterruptedException {
    Script warm =
        request -> {
          request.write(
              "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Id: a\r\nWarmup-Left: 0\r\n"
                      .formatted(request.header("Request-Id"))
                  + "Load: 0,0,6,100\r\nContent-Length: 0\r\n\r\n");
          return true;
        };
    try (ScriptedServer server = new ScriptedServer("a", warm)) {
      Environment environment = TestEnvironment.with(IDEMPOTENT_ROUTE, server);
      ServicePolicy policy = new ServicePolicy("s", "/health", 9, new Warmup(MINUTE, 0));
      environment
          .routes()
          .set(new RouteTable(2, List.of(IDEMPOTENT_ROUTE), List.of(policy), CallerLimits.DEFAULT));
      evacuate(environment, 1, "here");
      evacuate(environment, 2);
      assertEquals(Requests.send(environment).join().status().code(), 503);
      assertEquals(server.received().size(), 0);
      int status = 503;
      while (status == 503) {
        status = Requests.send(environment).join().status().code();
      }
      assertEquals(status, 200);
      environment.loop().stop();
    }
  }

  /** A route is restricted to a region: servers elsewhere must never get its requests. */
  @Test
  public void routesOfAnotherRegionUseNoServerHere() throws IOException {
    try (ScriptedServer server = new ScriptedServer("a", SUCCEED)) {
      Environment environment =
          TestEnvironment.with(IDEMPOTENT_ROUTE.withRegions(Set.of("other region")), server);
      assertEquals(Requests.send(environment).join().status().code(), 503);
      assertEquals(server.received().size(), 0);
      environment.loop().stop();
    }
  }
}
