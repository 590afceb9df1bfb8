package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.connection.ServerConnector;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.load.LoadSample;
import org.magnoliaswitch.front.load.ServerNotice;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.testing.ManualClock;
import org.magnoliaswitch.front.testing.Servers;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.magnoliaswitch.front.testing.TestHeaders;
import org.magnoliaswitch.front.version.CallerLimits;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.HeaderNames;
import org.magnoliaswitch.front.version.Revision;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServerEntry;
import org.magnoliaswitch.front.version.ServerList;
import org.magnoliaswitch.front.version.ServicePolicy;
import org.magnoliaswitch.front.version.Warmup;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which servers receive requests as lists of servers arrive. */
public final class ServerDirectoryTest {
  private static final HeaderNames NAMES = TestHeaders.NAMES;

  static ServerDirectory directory() {
    return directory(Clocks.system(), Warmup.UNLIMITED);
  }

  static ServerDirectory directory(Clocks clocks, Warmup warmup) {
    return directory(clocks, warmup, 1);
  }

  private static ServerDirectory directory(Clocks clocks, Warmup warmup, int count) {
    RouteTable routes =
        new RouteTable(
            1,
            List.of(),
            List.of(new ServicePolicy("s", "/health", 9, warmup)),
            CallerLimits.DEFAULT);
    FrontSettings settings = TestEnvironment.settings();
    InstanceCount instances = new InstanceCount(count, clocks);
    ColdServerQuotas coldServers =
        new ColdServerQuotas(settings, clocks, new AtomicReference<>(routes), instances);
    ServerConnector connector = new ServerConnector(Loop.start(), clocks, NAMES);
    return new ServerDirectory(
        connector, clocks, new EventLog(clocks), settings, instances, coldServers);
  }

  private static void apply(ServerDirectory directory, long version, ServerEntry... entries) {
    apply(directory, Revision.of(0, version), entries);
  }

  static void apply(ServerDirectory directory, Revision revision, ServerEntry... entries) {
    Map<String, ServerEntry> servers = new HashMap<>();
    for (ServerEntry entry : entries) {
      servers.put(entry.id(), entry);
    }
    directory.apply(new ServerList(revision, servers));
  }

  /**
   * Guards against a request to a server that has left the list while the request was queued for
   * its capacity: its address may belong to another service by then.
   */
  @Test
  public void unlistedServerReceivesNothingFromHoldersOfItsState() {
    ServerDirectory directory = directory();
    apply(directory, 1, Servers.entry("a", false), Servers.entry("b", false));
    ServerState held = directory.of("s").getFirst().state();
    assertTrue(held.acceptsWork());
    apply(directory, 2);
    assertFalse(held.acceptsWork());
    assertEquals(directory.of("s").size(), 0);
  }

  @Test
  public void drainingServerReceivesNothing() {
    ServerDirectory directory = directory();
    apply(directory, 1, Servers.entry("c", false));
    apply(directory, 2, Servers.entry("c", true));
    assertFalse(directory.of("s").getFirst().state().acceptsWork());
  }

  @Test
  public void olderListHasNoEffect() {
    ServerDirectory directory = directory();
    apply(directory, 2, Servers.entry("d", true));
    apply(directory, 1, Servers.entry("d", false));
    assertFalse(directory.of("s").getFirst().state().acceptsWork());
  }

  /**
   * Guards against rejected requests right after the start, when an instance does not know yet how
   * many others there are and some of a service's fourteen servers have crashed. In a small subset
   * most servers could be those that crashed, while the others are healthy.
   */
  @Test
  public void allServersOfSmallServiceAreUsedRightAfterStart() {
    ServerDirectory directory = directory(new ManualClock().clocks(), Warmup.UNLIMITED);
    ServerEntry[] entries = new ServerEntry[14];
    for (int i = 0; i < entries.length; i++) {
      entries[i] = Servers.entry("s" + i, false);
    }
    apply(directory, 1, entries);
    assertEquals(directory.of("s").size(), entries.length);
  }

  /** One of a hundred instances, which sends to only some servers of a service. */
  public static final class Unreachable {
    private static final int SERVERS = 60;
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private static final int INSTANCES = 100;

    private ManualClock time = new ManualClock();
    private ServerDirectory directory = directory();

    private List<ServerState> used() {
      return directory.of("s").stream().map(ServerPool::state).toList();
    }

    @BeforeMethod
    public void createDirectory() {
      time = new ManualClock();
      directory = directory(time.clocks(), Warmup.UNLIMITED, INSTANCES);
      time.advance(10 * SECOND);
      ServerEntry[] entries = new ServerEntry[SERVERS];
      for (int i = 0; i < SERVERS; i++) {
        entries[i] = Servers.entry("s" + i, false);
      }
      apply(directory, time.read(), entries);
    }

    /**
     * Guards against rejecting callers for lack of capacity while other servers are idle: a data
     * centre fails without notice, and with it most servers that this instance sends to, whose
     * entries remain for seconds.
     */
    @Test
    public void unreachableServersAreReplaced() {
      List<ServerState> before = used();
      assertTrue(before.size() < SERVERS / 2);
      List<ServerState> unreachable = before.subList(0, before.size() - 2);
      unreachable.forEach(directory::recordUnreachable);
      List<ServerState> after = new ArrayList<>(used());
      assertTrue(after.containsAll(before));
      after.removeAll(unreachable);
      assertEquals(after.size(), 6);
    }

    /**
     * Unreachable servers may have recovered or have been cut off only briefly, so the instance
     * returns to them.
     */
    @Test
    public void unreachableServersAreUsedAgainLater() {
      List<ServerState> before = used();
      before.subList(0, 5).forEach(directory::recordUnreachable);
      assertTrue(used().size() > before.size());
      time.advance(3 * SECOND);
      directory.sweep();
      assertEquals(used(), before);
    }

    /**
     * Guards against rejecting callers while other servers are idle because those in use asked for
     * a pause.
     */
    @Test
    public void pausedServersAreReplaced() {
      List<ServerState> before = used();
      List<ServerState> paused = before.subList(0, before.size() - 2);
      ServerNotice notice = new ServerNotice(false, OptionalDouble.empty(), 3 * SECOND);
      paused.forEach(state -> state.backpressure().recordAnswer(notice, time.read(), time.read()));
      directory.handlePause();
      List<ServerState> during = new ArrayList<>(used());
      during.removeAll(paused);
      assertEquals(during.size(), 6);
      time.advance(3 * SECOND);
      directory.sweep();
      assertEquals(used(), before);
    }

    /** A server that reports its load is reachable again. */
    @Test
    public void serverThatRespondsIsUsedAgain() {
      List<ServerState> before = used();
      List<ServerState> unreachable = before.subList(0, 5);
      unreachable.forEach(directory::recordUnreachable);
      unreachable.forEach(state -> state.recordSample(new LoadSample(0, 0, 2, 1), 0, time.read()));
      directory.sweep();
      assertEquals(used(), before);
    }

    /** An instance that is cut off itself reaches no server and keeps its own subset. */
    @Test
    public void ownSubsetIsUsedIfNoServerIsReachable() {
      List<ServerState> before = used();
      directory.all().forEach(pool -> directory.recordUnreachable(pool.state()));
      assertEquals(used(), before);
    }
  }

  /** Data centres that an operator evacuates and reinstates. */
  public static final class Evacuated {
    private static final long WARMUP_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static Evacuations of(long version, String... dataCentres) {
      return new Evacuations(Revision.of(0, version), Set.of(dataCentres));
    }

    /**
     * Guards against requests to servers in an evacuated data centre, where they may be lost: to
     * servers that a queued request still holds and to servers that are listed later.
     */
    @Test
    public void evacuatedServersReceiveNothing() {
      ServerDirectory directory = directory();
      apply(directory, 1, Servers.entry("a", false));
      ServerState held = directory.of("s").getFirst().state();
      directory.evacuate(of(1, "here"));
      assertFalse(held.acceptsWork());
      apply(directory, 2, Servers.entry("a", false), Servers.entry("b", false));
      directory.of("s").forEach(pool -> assertFalse(pool.state().acceptsWork()));
    }

    @Test
    public void otherDataCentresReceiveRequests() {
      ServerDirectory directory = directory();
      apply(directory, 1, Servers.entry("a", false));
      directory.evacuate(of(1, "elsewhere"));
      assertTrue(directory.of("s").getFirst().state().acceptsWork());
    }

    /**
     * Guards against crashing the servers of a reinstated data centre with the full load at once:
     * discovery still lists them as warm, since its entries are seconds old.
     */
    @Test
    public void reinstatedServersCountAsColdUntilTheyReportOtherwise() {
      ManualClock time = new ManualClock();
      Clocks clocks = time.clocks();
      ServerDirectory directory = directory(clocks, new Warmup(WARMUP_NANOS, 2));
      apply(directory, 1, Servers.entry("a", false), Servers.entry("b", false));
      directory.evacuate(of(1, "here"));
      directory.evacuate(of(2));
      apply(directory, 2, Servers.entry("a", false), Servers.entry("b", false));
      ServerState first = directory.of("s").get(0).state();
      ServerState second = directory.of("s").get(1).state();
      assertTrue(first.acceptsWork());
      assertTrue(first.cold(clocks.nanos()));
      first.recordWarmup(0, clocks.nanos());
      assertFalse(first.cold(clocks.nanos()));
      assertTrue(second.cold(clocks.nanos()));
      time.advance(WARMUP_NANOS);
      assertFalse(second.cold(clocks.nanos()));
    }
  }

  /** Servers that restart under the same id. */
  public static final class Restarts {
    private static ServerState only(ServerDirectory directory) {
      assertEquals(directory.of("s").size(), 1);
      return directory.of("s").getFirst().state();
    }

    /**
     * Guards against rejecting the callers of a service with a single server that has announced
     * that it is leaving, failed some requests and restarted under the same id: the departure and
     * failures of the old process must not count for the new one.
     */
    @Test
    public void stateOfOldIncarnationIsDiscarded() {
      ServerDirectory directory = directory();
      apply(directory, 1, Servers.entry("a", false));
      ServerState old = only(directory);
      old.requestStarted();
      old.markRemoved();
      for (int i = 0; i < 5; i++) {
        directory.recordFailure(old, "error");
      }
      apply(directory, 2, Servers.entry("a", true));
      apply(directory, 3, Servers.restarted(Servers.entry("a", true)));
      ServerState next = only(directory);
      assertTrue(next.acceptsWork());
      assertEquals(next.inFlight(), 0);
      assertEquals(next.failureShare(Clocks.system().nanos()), 0.0);
      assertFalse(old.acceptsWork());
    }

    /**
     * Failures of the old process that are detected after the restart must not count for the new
     * one.
     */
    @Test
    public void lateFailureCountsForOldIncarnation() {
      ServerDirectory directory = directory();
      apply(directory, 1, Servers.entry("a", false));
      ServerState old = only(directory);
      apply(directory, 2, Servers.restarted(Servers.entry("a", false)));
      directory.recordFailure(old, "broken");
      assertEquals(only(directory).failureShare(Clocks.system().nanos()), 0.0);
    }

    /**
     * Guards against a service without a server: the old process was stalled and writes its last
     * entry, "leaving", after the new one has registered.
     */
    @Test
    public void entryOfEarlierIncarnationHasNoEffect() {
      ServerDirectory directory = directory();
      apply(directory, 1, Servers.restarted(Servers.entry("a", false)));
      ServerState state = only(directory);
      apply(directory, 2, Servers.entry("a", true));
      assertEquals(only(directory), state);
      assertTrue(state.acceptsWork());
    }

    /** An entry is missing from the list while it is malformed, and is listed again afterwards. */
    @Test
    public void relistedServerIsUsedAgain() {
      ServerDirectory directory = directory();
      apply(directory, 1, Servers.entry("a", false));
      ServerState before = only(directory);
      apply(directory, 2);
      assertEquals(directory.of("s").size(), 0);
      apply(directory, 3, Servers.entry("a", false));
      assertTrue(only(directory).acceptsWork());
      assertFalse(before.acceptsWork());
    }

    /**
     * A server withdraws its departure: its connections must be pooled again instead of being
     * opened for each request.
     */
    @Test
    public void serverThatWithdrawsDepartureIsUsedAgain() {
      ServerDirectory directory = directory();
      apply(directory, 1, Servers.entry("a", true));
      apply(directory, 2, Servers.entry("a", false));
      assertTrue(only(directory).acceptsWork());
    }
  }
}
