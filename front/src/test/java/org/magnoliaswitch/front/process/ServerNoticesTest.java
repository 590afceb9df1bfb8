package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.load.ServerNotice;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.testing.Servers;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.magnoliaswitch.front.version.Revision;
import org.magnoliaswitch.front.version.ServerList;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the metrics that show the backpressure notices of servers. */
public final class ServerNoticesTest {
  private static final ServerNotice LIMITED = new ServerNotice(false, OptionalDouble.of(4.6), 0);
  private static final ServerNotice LEAVING = new ServerNotice(true, OptionalDouble.empty(), 0);
  private static final ServerNotice PAUSE =
      new ServerNotice(false, OptionalDouble.empty(), TimeUnit.SECONDS.toNanos(3));

  private Environment environment;
  private ServerState server;

  @BeforeMethod
  public void createServer() throws InterruptedException {
    environment = TestEnvironment.withoutConfiguration();
    onLoop(
        () ->
            environment
                .servers()
                .apply(new ServerList(Revision.of(0, 1), Map.of("a", Servers.entry("a", false)))));
    server = environment.servers().of("s").getFirst().state();
  }

  @AfterMethod
  public void stop() {
    environment.loop().stop();
  }

  private void onLoop(Runnable action) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    environment
        .loop()
        .execute(
            () -> {
              action.run();
              done.countDown();
            });
    done.await();
  }

  private void answered(ServerNotice notice) throws InterruptedException {
    long sent = environment.clocks().nanos();
    onLoop(() -> environment.notices().answered(server, notice, sent));
  }

  private void assertCounted(String event, int times) {
    String page = environment.metrics().scrape();
    String line =
        "magnolia_server_notices_total{result=\"%s\",service=\"s\"} %d".formatted(event, times);
    assertTrue(page.contains(line), page);
  }

  /** Guards against a log line for each response of a server whose limit does not change. */
  @Test
  public void limitIsCountedWhenItChanges() throws InterruptedException {
    answered(LIMITED);
    answered(LIMITED);
    answered(ServerNotice.NONE);
    assertCounted("server_limit", 1);
    assertCounted("server_limit_lifted", 1);
  }

  @Test
  public void departureIsCountedOnceAndEndsNewRequests() throws InterruptedException {
    answered(LEAVING);
    answered(LEAVING);
    assertCounted("server_leaving", 1);
    assertEquals(environment.servers().of("s").size(), 1);
    assertTrue(!server.acceptsWork());
  }

  @Test
  public void eachPauseIsCounted() throws InterruptedException {
    answered(PAUSE);
    answered(PAUSE);
    assertCounted("server_pause", 2);
  }
}
