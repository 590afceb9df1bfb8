package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.testing.Requests;
import org.magnoliaswitch.front.testing.ScriptedServer;
import org.magnoliaswitch.front.testing.Servers;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.magnoliaswitch.front.version.Revision;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.ServerEntry;
import org.magnoliaswitch.front.version.ServerList;
import org.testng.annotations.Test;

/** Servers that state in their responses that they are leaving, before discovery reports it. */
public final class LeavingServerTest {
  private static final int REQUESTS = 20;
  private static final Route NON_IDEMPOTENT_ROUTE = Requests.route(false);
  private static final Route IDEMPOTENT_ROUTE = Requests.route(true);

  private static boolean leaving(ScriptedServer.Received request) throws IOException {
    return request.respondWith(200, "Leaving: 1", "Load: 0,0,6,100");
  }

  /** Reports more load than the server that leaves. */
  private static boolean staying(ScriptedServer.Received request) throws IOException {
    return request.respondWith(200, "Load: 3,0,6,100");
  }

  private static void applyServerList(Environment environment, long version, ServerEntry... entries)
      throws InterruptedException {
    Map<String, ServerEntry> servers = new HashMap<>();
    for (ServerEntry entry : entries) {
      servers.put(entry.id(), entry);
    }
    CountDownLatch applied = new CountDownLatch(1);
    environment
        .loop()
        .execute(
            () -> {
              environment.servers().apply(new ServerList(Revision.of(0, version), servers));
              applied.countDown();
            });
    applied.await();
  }

  private static void sendRequests(Environment environment) {
    for (int i = 0; i < REQUESTS; i++) {
      assertEquals(Requests.send(environment).join().status().code(), 200);
    }
  }

  /** Guards against new requests to a leaving server while the platform's store is unavailable. */
  @Test
  public void receiveNoRequestsAfterAResponseStatesIt() throws IOException, InterruptedException {
    try (ScriptedServer leaving = new ScriptedServer("a", LeavingServerTest::leaving);
        ScriptedServer staying = new ScriptedServer("b", LeavingServerTest::staying)) {
      Environment environment = TestEnvironment.with(NON_IDEMPOTENT_ROUTE, leaving);
      assertEquals(Requests.send(environment).join().status().code(), 200);
      applyServerList(environment, 2, leaving.entry(), staying.entry());
      sendRequests(environment);
      assertEquals(leaving.received().size(), 1);
      environment.loop().stop();
    }
  }

  /**
   * Guards against a departure that is forgotten when the entry of the server expires and returns.
   */
  @Test
  public void receiveNoRequestsAfterTheirEntryExpiresAndReturns()
      throws IOException, InterruptedException {
    try (ScriptedServer leaving = new ScriptedServer("a", LeavingServerTest::leaving);
        ScriptedServer staying = new ScriptedServer("b", LeavingServerTest::staying)) {
      Environment environment = TestEnvironment.with(IDEMPOTENT_ROUTE, leaving);
      assertEquals(Requests.send(environment).join().status().code(), 200);
      applyServerList(environment, 2, staying.entry());
      applyServerList(environment, 3, leaving.entry(), staying.entry());
      sendRequests(environment);
      assertEquals(leaving.received().size(), 1);
      environment.loop().stop();
    }
  }

  /** Guards against a server that stays unused after it has left and restarted. */
  @Test
  public void receiveRequestsAgainAfterARestart() throws IOException, InterruptedException {
    try (ScriptedServer leaving = new ScriptedServer("a", LeavingServerTest::leaving);
        ScriptedServer restarted = new ScriptedServer("a", LeavingServerTest::staying)) {
      Environment environment = TestEnvironment.with(IDEMPOTENT_ROUTE, leaving);
      assertEquals(Requests.send(environment).join().status().code(), 200);
      applyServerList(environment, 2, Servers.restarted(restarted.entry()));
      sendRequests(environment);
      assertEquals(restarted.received().size(), REQUESTS);
      environment.loop().stop();
    }
  }
}
