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
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServerEntry;
import org.magnoliaswitch.front.version.ServerList;
import org.magnoliaswitch.front.version.ServicePolicy;
import org.magnoliaswitch.front.version.Warmup;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which servers get work as lists come in. */
public final class ServerDirectoryTest {
  private static final HeaderNames NAMES = TestHeaders.NAMES;

  private static ServerDirectory directory() {
    return directory(Clocks.system(), Warmup.UNLIMITED);
  }

  private static ServerDirectory directory(Clocks clocks, Warmup warmup) {
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
    Map<String, ServerEntry> servers = new HashMap<>();
    for (ServerEntry entry : entries) {
      servers.put(entry.id(), entry);
    }
    directory.apply(new ServerList(version, servers));
  }

  /**
   * A request waits for room and remembers a server. The server leaves the list meanwhile, and its
   * address may soon belong to another service. Room that its last answer offers must not be taken.
   */
  @Test
  public void aServerThatLeftTheListGetsNothingFromThoseWhoRememberIt() {
    ServerDirectory directory = directory();
    apply(directory, 1, Servers.entry("a", false), Servers.entry("b", false));
    ServerState remembered = directory.of("s").getFirst().state();
    assertTrue(remembered.acceptsWork());
    apply(directory, 2);
    assertFalse(remembered.acceptsWork());
    assertEquals(directory.of("s").size(), 0);
  }

  @Test
  public void aDrainingServerGetsNothing() {
    ServerDirectory directory = directory();
    apply(directory, 1, Servers.entry("c", false));
    apply(directory, 2, Servers.entry("c", true));
    assertFalse(directory.of("s").getFirst().state().acceptsWork());
  }

  @Test
  public void anOlderListChangesNothing() {
    ServerDirectory directory = directory();
    apply(directory, 2, Servers.entry("d", true));
    apply(directory, 1, Servers.entry("d", false));
    assertFalse(directory.of("s").getFirst().state().acceptsWork());
  }

  /**
   * An instance has just started, some of its service's fourteen servers have ended, and it does
   * not know yet how many others serve. Were it to keep to few servers, most of them might be those
   * that ended, and its caller would be refused beside servers that are well.
   */
  @Test
  public void rightAfterTheStartNoServerOfASmallServiceIsLeftOut() {
    ServerDirectory directory = directory(new ManualClock().clocks(), Warmup.UNLIMITED);
    ServerEntry[] entries = new ServerEntry[14];
    for (int i = 0; i < entries.length; i++) {
      entries[i] = Servers.entry("s" + i, false);
    }
    apply(directory, 1, entries);
    assertEquals(directory.of("s").size(), entries.length);
  }

  /** A hundred instances, of which this one sends to some servers of a service only. */
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
    public void start() {
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
     * A data centre falls silent without a word, and with it most of the servers that this instance
     * sends to. Its entries stay for seconds. Callers would be refused for want of room while
     * servers elsewhere are idle, so some of those are used instead.
     */
    @Test
    public void othersTakeThePlaceOfServersThatCannotBeReached() {
      List<ServerState> before = used();
      assertTrue(before.size() < SERVERS / 2);
      List<ServerState> silent = before.subList(0, before.size() - 2);
      silent.forEach(directory::recordUnreachable);
      List<ServerState> after = new ArrayList<>(used());
      assertTrue(after.containsAll(before));
      after.removeAll(silent);
      assertEquals(after.size(), 6);
    }

    /** They are back, or were only cut off for a moment: the instance returns to its own. */
    @Test
    public void afterAWhileTheyAreTriedAgainInTheirPlace() {
      List<ServerState> before = used();
      before.subList(0, 5).forEach(directory::recordUnreachable);
      assertTrue(used().size() > before.size());
      time.advance(3 * SECOND);
      directory.sweep();
      assertEquals(used(), before);
    }

    /** Guards against callers refused beside idle servers while those in use want a pause. */
    @Test
    public void othersTakeThePlaceOfServersThatWantAPause() {
      List<ServerState> before = used();
      List<ServerState> paused = before.subList(0, before.size() - 2);
      ServerNotice notice = new ServerNotice(false, OptionalDouble.empty(), 3 * SECOND);
      paused.forEach(state -> state.backpressure().recordAnswer(notice, time.read(), time.read()));
      directory.paused();
      List<ServerState> during = new ArrayList<>(used());
      during.removeAll(paused);
      assertEquals(during.size(), 6);
      time.advance(3 * SECOND);
      directory.sweep();
      assertEquals(used(), before);
    }

    /** It tells its load: whoever could not reach it a moment ago can do so now. */
    @Test
    public void oneThatAnswersIsUsedAgain() {
      List<ServerState> before = used();
      List<ServerState> silent = before.subList(0, 5);
      silent.forEach(directory::recordUnreachable);
      silent.forEach(state -> state.recordSample(new LoadSample(0, 0, 2, 1), 0, time.read()));
      directory.sweep();
      assertEquals(used(), before);
    }

    /** An instance that is cut off itself reaches none, and keeps to those it would use. */
    @Test
    public void whenNoneCanBeReachedTheUsualOnesAreTried() {
      List<ServerState> before = used();
      directory.all().forEach(pool -> directory.recordUnreachable(pool.state()));
      assertEquals(used(), before);
    }
  }

  /** Data centres that an operator empties and takes back. */
  public static final class Evacuated {
    private static final long SPAN_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static Evacuations of(long version, String... dataCentres) {
      return new Evacuations(version, Set.of(dataCentres));
    }

    /**
     * An operator empties a data centre before work on its power lines. A request that remembers a
     * server there, or one that was learnt afterwards, would be lost with it.
     */
    @Test
    public void itsServersGetNothingWhetherKnownBeforeOrLearntLater() {
      ServerDirectory directory = directory();
      apply(directory, 1, Servers.entry("a", false));
      ServerState remembered = directory.of("s").getFirst().state();
      directory.evacuate(of(1, "here"));
      assertFalse(remembered.acceptsWork());
      apply(directory, 2, Servers.entry("a", false), Servers.entry("b", false));
      directory.of("s").forEach(pool -> assertFalse(pool.state().acceptsWork()));
    }

    @Test
    public void otherDataCentresGoOn() {
      ServerDirectory directory = directory();
      apply(directory, 1, Servers.entry("a", false));
      directory.evacuate(of(1, "elsewhere"));
      assertTrue(directory.of("s").getFirst().state().acceptsWork());
    }

    /**
     * The data centre is taken back, and discovery still lists its servers as warm: their entries
     * are seconds old. All callers would be sent there at once and end them.
     */
    @Test
    public void takenBackItsServersCountAsColdUntilTheySayOtherwise() {
      ManualClock time = new ManualClock();
      Clocks clocks = time.clocks();
      ServerDirectory directory = directory(clocks, new Warmup(SPAN_NANOS, 2));
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
      time.advance(SPAN_NANOS);
      assertFalse(second.cold(clocks.nanos()));
    }
  }

  /** Servers that start again under the id that they had. */
  public static final class Restarts {
    private static ServerState only(ServerDirectory directory) {
      assertEquals(directory.of("s").size(), 1);
      return directory.of("s").getFirst().state();
    }

    /**
     * A server announces that it leaves, fails some requests, ends, and starts again under its id.
     * Callers of a service with that one server would be refused for as long as the old process's
     * departure and failures were held against the new one.
     */
    @Test
    public void nothingOfTheOldIncarnationIsHeldAgainstTheNewOne() {
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

    /** Failures that come to light after the restart were the old process's. */
    @Test
    public void whatComesToLightLaterCountsWhereItHappened() {
      ServerDirectory directory = directory();
      apply(directory, 1, Servers.entry("a", false));
      ServerState old = only(directory);
      apply(directory, 2, Servers.restarted(Servers.entry("a", false)));
      directory.recordFailure(old, "broken");
      assertEquals(only(directory).failureShare(Clocks.system().nanos()), 0.0);
    }

    /**
     * The old process stood still and writes its last entry, "leaving", after the new one has
     * registered. Taken for the new one's, it would leave the service without a server.
     */
    @Test
    public void anEntryOfAnEarlierIncarnationChangesNothing() {
      ServerDirectory directory = directory();
      apply(directory, 1, Servers.restarted(Servers.entry("a", false)));
      ServerState state = only(directory);
      apply(directory, 2, Servers.entry("a", true));
      assertEquals(only(directory), state);
      assertTrue(state.acceptsWork());
    }

    /** The list is missing an entry while somebody has spoiled it, and has it again afterwards. */
    @Test
    public void aServerThatWasMissingIsUsedAgain() {
      ServerDirectory directory = directory();
      apply(directory, 1, Servers.entry("a", false));
      ServerState before = only(directory);
      apply(directory, 2);
      assertEquals(directory.of("s").size(), 0);
      apply(directory, 3, Servers.entry("a", false));
      assertTrue(only(directory).acceptsWork());
      assertFalse(before.acceptsWork());
    }

    /** A departure that is taken back: its connections must be kept again, not opened each time. */
    @Test
    public void aServerThatStaysAfterAllIsUsedAgain() {
      ServerDirectory directory = directory();
      apply(directory, 1, Servers.entry("a", true));
      apply(directory, 2, Servers.entry("a", false));
      assertTrue(only(directory).acceptsWork());
    }
  }
}
