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
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.ServerEntry;
import org.magnoliaswitch.front.version.ServerList;
import org.testng.annotations.Test;

/** Servers that say in their answers that they leave, while discovery does not know it yet. */
public final class LeavingServerTest {
  private static final int REQUESTS = 20;
  private static final Route ONCE = Requests.route(false);
  private static final Route READ = Requests.route(true);

  private static boolean leaving(ScriptedServer.Received request) throws IOException {
    return request.answerWith(200, "Leaving: 1", "Load: 0,0,6,100");
  }

  /** Looks busier than the one that leaves. */
  private static boolean staying(ScriptedServer.Received request) throws IOException {
    return request.answerWith(200, "Load: 3,0,6,100");
  }

  private static void list(Environment environment, long version, ServerEntry... entries)
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
              environment.servers().apply(new ServerList(version, servers));
              applied.countDown();
            });
    applied.await();
  }

  private static void askAll(Environment environment) {
    for (int i = 0; i < REQUESTS; i++) {
      assertEquals(Requests.ask(environment).join().status().code(), 200);
    }
  }

  /** Guards against new work at a server that leaves while the platform's store is away. */
  @Test
  public void getNothingMoreOnceAnAnswerHasSaidSo() throws IOException, InterruptedException {
    try (ScriptedServer leaving = new ScriptedServer("a", LeavingServerTest::leaving);
        ScriptedServer staying = new ScriptedServer("b", LeavingServerTest::staying)) {
      Environment environment = TestEnvironment.with(ONCE, leaving);
      assertEquals(Requests.ask(environment).join().status().code(), 200);
      list(environment, 2, leaving.entry(), staying.entry());
      askAll(environment);
      assertEquals(leaving.received().size(), 1);
      environment.loop().stop();
    }
  }

  /** Guards against a departure that is forgotten when the server's entry lapses and comes back. */
  @Test
  public void getNothingMoreAfterTheirEntryHasLapsedAndComeBack()
      throws IOException, InterruptedException {
    try (ScriptedServer leaving = new ScriptedServer("a", LeavingServerTest::leaving);
        ScriptedServer staying = new ScriptedServer("b", LeavingServerTest::staying)) {
      Environment environment = TestEnvironment.with(READ, leaving);
      assertEquals(Requests.ask(environment).join().status().code(), 200);
      list(environment, 2, staying.entry());
      list(environment, 3, leaving.entry(), staying.entry());
      askAll(environment);
      assertEquals(leaving.received().size(), 1);
      environment.loop().stop();
    }
  }

  /** Guards against a server that stays unused after it has left and started again. */
  @Test
  public void areUsedAgainOnceTheyHaveStartedAgain() throws IOException, InterruptedException {
    try (ScriptedServer leaving = new ScriptedServer("a", LeavingServerTest::leaving);
        ScriptedServer next = new ScriptedServer("a", LeavingServerTest::staying)) {
      Environment environment = TestEnvironment.with(READ, leaving);
      assertEquals(Requests.ask(environment).join().status().code(), 200);
      list(environment, 2, Servers.restarted(next.entry()));
      askAll(environment);
      assertEquals(next.received().size(), REQUESTS);
      environment.loop().stop();
    }
  }
}
