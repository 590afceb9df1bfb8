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
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServicePolicy;
import org.magnoliaswitch.front.version.Warmup;
import org.testng.annotations.Test;

/** Requests while an operator evacuates the data centre of their servers. */
public final class EvacuationTest {
  private static final long MINUTE = TimeUnit.MINUTES.toNanos(1);
  private static final Script WELL = request -> request.answer(200, "well");
  private static final Route ONCE = Requests.route(false);
  private static final Route READ = Requests.route(true);

  private static void evacuate(Environment environment, long version, String... dataCentres)
      throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    environment
        .loop()
        .execute(
            () -> {
              environment.servers().evacuate(new Evacuations(version, Set.of(dataCentres)));
              done.countDown();
            });
    done.await();
  }

  /**
   * A booking is being run when its data centre is evacuated. The caller gets its answer: an
   * evacuation takes new work away and leaves what is under way alone.
   */
  @Test
  public void whatIsUnderWayEndsUndisturbed() throws IOException, InterruptedException {
    CountDownLatch released = new CountDownLatch(1);
    Script held =
        request -> {
          released.await();
          return request.answer(200, "done");
        };
    try (ScriptedServer server = new ScriptedServer("a", held)) {
      Environment environment = TestEnvironment.with(ONCE, server);
      CompletableFuture<CallerResponse> answer = Requests.ask(environment);
      server.awaitFirst();
      evacuate(environment, 1, "here");
      released.countDown();
      assertEquals(answer.join().status().code(), 200);
      environment.loop().stop();
    }
  }

  /**
   * Every data centre of a service is evacuated. Its callers are told at once that their requests
   * have not run and when to come back; nothing reaches a server, on a kept connection either.
   */
  @Test
  public void withAllEvacuatedCallersAreRefusedAtOnce() throws IOException, InterruptedException {
    try (ScriptedServer server = new ScriptedServer("a", WELL)) {
      Environment environment = TestEnvironment.with(READ, server);
      assertEquals(Requests.ask(environment).join().status().code(), 200);
      evacuate(environment, 1, "here");
      CallerResponse refusal = Requests.ask(environment).join();
      assertEquals(refusal.status().code(), 503);
      assertTrue(refusal.headers().contains("Retry-After"));
      assertEquals(server.received().size(), 1);
      evacuate(environment, 2);
      assertEquals(Requests.ask(environment).join().status().code(), 200);
      environment.loop().stop();
    }
  }

  /**
   * A read's server rejects it just after the data centre was evacuated. The further send must not
   * go to the second server there, though it has room.
   */
  @Test
  public void aFurtherSendGoesToNoEvacuatedServer() throws IOException, InterruptedException {
    CountDownLatch released = new CountDownLatch(1);
    Script rejects =
        request -> {
          released.await();
          request.write(
              "HTTP/1.1 503 X\r\nRequest-Id: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
          return true;
        };
    try (ScriptedServer first = new ScriptedServer("a", rejects);
        ScriptedServer second = new ScriptedServer("b", rejects)) {
      Environment environment = TestEnvironment.with(READ, first, second);
      CompletableFuture<CallerResponse> answer = Requests.ask(environment);
      while (first.received().size() + second.received().size() == 0) {
        Thread.onSpinWait();
      }
      evacuate(environment, 1, "here");
      released.countDown();
      assertEquals(answer.join().status().code(), 503);
      assertEquals(first.received().size() + second.received().size(), 1);
      environment.loop().stop();
    }
  }

  /**
   * A data centre is taken back, its servers count as cold, and this instance is not drawn for any:
   * it sends nothing there until a server's health check says that it is warm. Then it does;
   * otherwise a third of the slots would stand idle while callers are refused.
   */
  @Test
  public void aServerThatSaysItIsWarmIsUsedAtOnce() throws IOException, InterruptedException {
    Script warm =
        request -> {
          request.write(
              "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Id: a\r\nWarmup-Left: 0\r\n"
                      .formatted(request.header("Request-Id"))
                  + "Load: 0,0,6,100\r\nContent-Length: 0\r\n\r\n");
          return true;
        };
    try (ScriptedServer server = new ScriptedServer("a", warm)) {
      Environment environment = TestEnvironment.with(READ, server);
      ServicePolicy cold = new ServicePolicy("s", "/health", 9, new Warmup(MINUTE, 0));
      environment
          .routes()
          .set(new RouteTable(2, List.of(READ), List.of(cold), CallerLimits.DEFAULT));
      evacuate(environment, 1, "here");
      evacuate(environment, 2);
      assertEquals(Requests.ask(environment).join().status().code(), 503);
      assertEquals(server.received().size(), 0);
      int status = 503;
      while (status == 503) {
        status = Requests.ask(environment).join().status().code();
      }
      assertEquals(status, 200);
      environment.loop().stop();
    }
  }

  /** A route is bound to a region; a server elsewhere must never get its requests. */
  @Test
  public void aRouteOfAnotherRegionGoesToNoServerHere() throws IOException {
    try (ScriptedServer server = new ScriptedServer("a", WELL)) {
      Environment environment = TestEnvironment.with(READ.within(Set.of("other region")), server);
      assertEquals(Requests.ask(environment).join().status().code(), 503);
      assertEquals(server.received().size(), 0);
      environment.loop().stop();
    }
  }
}
