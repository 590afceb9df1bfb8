package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.crash.RequestIdentity;
import org.magnoliaswitch.core.crash.SuspicionLevel;
import org.magnoliaswitch.core.process.CrashWatch;
import org.magnoliaswitch.front.connection.ServerConnector;
import org.magnoliaswitch.front.load.InstanceIndex;
import org.magnoliaswitch.front.load.SharedRetryBudget;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.testing.Servers;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.magnoliaswitch.front.testing.TestHeaders;
import org.magnoliaswitch.front.version.CallerLimits;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.HeaderNames;
import org.magnoliaswitch.front.version.OperatorState;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServerEntry;
import org.magnoliaswitch.front.version.ServerList;
import org.testng.annotations.Test;

/** How instances learn from the platform and from each other. */
public final class StateSyncTest {
  private static final HeaderNames NAMES = TestHeaders.NAMES;

  /** A platform whose answers a test sets. */
  private static final class Source implements StateSource {
    private final AtomicReference<Read<OperatorState>> configuration =
        new AtomicReference<>(new Read.Failed<>("away"));
    private final AtomicReference<Read<ServerList>> servers =
        new AtomicReference<>(new Read.Failed<>("away"));
    private final List<Consumer<Read<OperatorState>>> waits = new ArrayList<>();
    private final AtomicInteger reads = new AtomicInteger();
    private final CountDownLatch waiting = new CountDownLatch(1);

    void answer(long version, String... ids) {
      configuration.set(new Read.Known<>(declared(version)));
      Map<String, ServerEntry> entries = new HashMap<>();
      for (String id : ids) {
        entries.put(id, Servers.entry(id, false));
      }
      servers.set(new Read.Known<>(new ServerList(version, entries)));
    }

    @Override
    public void operatorState(Consumer<Read<OperatorState>> listener) {
      reads.incrementAndGet();
      listener.accept(configuration.get());
    }

    @Override
    public void nextOperatorState(long waitMillis, Consumer<Read<OperatorState>> listener) {
      waits.add(listener);
      waiting.countDown();
    }

    @Override
    public void servers(Consumer<Read<ServerList>> listener) {
      listener.accept(servers.get());
    }
  }

  /** The parts of an instance that learn, without callers. */
  private static final class Learner {
    private final Environment environment;
    private final KnownState knownState;
    private final Loop control = Loop.start();

    Learner(int peersPort, List<InetSocketAddress> seeds, Source source) {
      Clocks clocks = Clocks.system();
      EventLog log = new EventLog(clocks);
      Loop requests = Loop.start();
      Random random = new Random(1);
      SharedRetryBudget.Limits repeats = SharedRetryBudget.Limits.DEFAULT;
      FrontSettings settings = TestEnvironment.settings(at(peersPort), seeds, repeats);
      AtomicReference<RouteTable> routes = new AtomicReference<>(RouteTable.EMPTY);
      InstanceCount instances = new InstanceCount(1, clocks);
      ColdServerQuotas coldServers = new ColdServerQuotas(settings, clocks, routes, instances);
      ServerDirectory servers =
          new ServerDirectory(
              new ServerConnector(requests, clocks, NAMES),
              clocks,
              log,
              settings,
              instances,
              coldServers);
      FrontMetrics metrics = new FrontMetrics();
      environment =
          new Environment(
              settings,
              NAMES,
              clocks,
              requests,
              random,
              routes,
              new Freshness(),
              servers,
              new RouteState(random, repeats),
              instances,
              new ServerQuotas(settings, clocks, instances, coldServers, servers::subsetShare),
              new ServerNotices(servers, clocks, log, metrics),
              log,
              metrics,
              new CrashWatch(clocks));
      knownState = new KnownState(environment.routes(), servers, requests, log);
      new StateSync(environment, knownState, control, source).start();
    }

    void awaitVersion(long version) {
      while (knownState.routesVersion() < version || knownState.servers().version() < version) {
        Thread.onSpinWait();
      }
    }
  }

  private static OperatorState declared(long version, String... evacuated) {
    return new OperatorState(table(version), new Evacuations(version, Set.of(evacuated)));
  }

  private static RouteTable table(long version) {
    return new RouteTable(version, List.of(), List.of(), CallerLimits.DEFAULT);
  }

  private static InetSocketAddress at(int port) {
    return new InetSocketAddress("127.0.0.1", port);
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  /** What peers bring. */
  public static final class Peers {
    /**
     * The platform turns one machine away and serves the others. Its callers must not notice: it
     * learns configuration, servers and later changes from a peer.
     */
    @Test
    public void anInstanceThatThePlatformTurnsAwayLearnsFromItsPeer() throws Exception {
      int port = freePort();
      Source good = new Source();
      good.answer(3, "a");
      Learner seed = new Learner(port, List.of(at(port)), good);
      Learner alone = new Learner(freePort(), List.of(at(port)), new Source());
      alone.awaitVersion(3);
      good.answer(4, "a", "b");
      good.waiting.await();
      seed.control.execute(
          () -> good.waits.removeFirst().accept(new StateSource.Read.Known<>(declared(4))));
      alone.awaitVersion(4);
      assertEquals(alone.knownState.servers().servers().keySet(), Set.of("a", "b"));
      assertEquals(alone.environment.instances().count(), 2);
    }

    /** Guards against instances that stay behind where the platform turns all seeds away. */
    @Test(timeOut = 30_000)
    public void whatOneInstanceReadReachesOthersThroughSeedsThatCannotRead() throws Exception {
      int port = freePort();
      Learner seed = new Learner(port, List.of(at(port)), new Source());
      Learner alone = new Learner(freePort(), List.of(at(port)), new Source());
      Source good = new Source();
      good.answer(3, "a");
      Learner reader = new Learner(freePort(), List.of(at(port)), good);
      reader.awaitVersion(3);
      alone.awaitVersion(3);
      good.answer(4, "a", "b");
      alone.awaitVersion(4);
      assertEquals(alone.knownState.servers().servers().keySet(), Set.of("a", "b"));
      assertEquals(seed.knownState.routesVersion(), 4);
    }

    /**
     * A data centre is lost, and one instance sees hundreds of requests end with its servers. All
     * others must know, and a message for each report would keep the seed from its callers.
     */
    @Test
    public void reportsOfOneMomentReachAllTogether() throws IOException {
      int count = 300;
      int port = freePort();
      Source good = new Source();
      good.answer(3, "a");
      Learner seed = new Learner(port, List.of(at(port)), good);
      Learner reporter = new Learner(freePort(), List.of(at(port)), good);
      Learner other = new Learner(freePort(), List.of(at(port)), good);
      AtomicInteger heard = new AtomicInteger();
      other.environment.crashes().listen(lesson -> heard.incrementAndGet());
      while (other.environment.instances().count() < 3) {
        Thread.onSpinWait();
      }
      for (int i = 0; i < count; i++) {
        RequestIdentity request = new RequestIdentity(1, i);
        reporter.environment.crashes().ended(List.of(request), "a@0", false);
      }
      while (other.environment.crashes().table().count(SuspicionLevel.UNSUSPECTED) < count) {
        Thread.onSpinWait();
      }
      assertEquals(seed.environment.crashes().table().count(SuspicionLevel.UNSUSPECTED), count);
      assertTrue(heard.get() < count / 2, heard + " messages");
    }

    /**
     * A few of all instances may send to a cold server. If two took the same place, it would get
     * more than it bears: the seed gives each listener a place of its own and keeps one itself.
     */
    @Test
    public void allInstancesHaveDifferentPlaces() throws IOException {
      int port = freePort();
      Source good = new Source();
      good.answer(3, "a");
      List<Learner> all = new ArrayList<>();
      all.add(new Learner(port, List.of(at(port)), good));
      for (int i = 0; i < 4; i++) {
        all.add(new Learner(freePort(), List.of(at(port)), good));
      }
      Set<Integer> indices = new HashSet<>();
      for (Learner learner : all) {
        InstanceCount instances = learner.environment.instances();
        while (instances.place().map(InstanceIndex::count).orElse(0) < all.size()) {
          Thread.onSpinWait();
        }
        indices.add(instances.place().orElseThrow().index());
      }
      assertEquals(indices, Set.of(0, 1, 2, 3, 4));
    }

    /**
     * The seeds are gone and nobody tells anything. An instance must not wait for them: it reads
     * the platform itself.
     */
    @Test
    public void anInstanceWithoutPeersReadsForItself() throws IOException {
      Source good = new Source();
      good.answer(5, "a");
      Learner learner = new Learner(freePort(), List.of(at(freePort())), good);
      learner.awaitVersion(5);
    }
  }

  /** Data centres that operators evacuate. */
  public static final class Evacuated {
    private static void await(Learner learner, String... dataCentres) {
      while (!learner.knownState.evacuations().dataCentres().equals(Set.of(dataCentres))) {
        Thread.onSpinWait();
      }
    }

    /**
     * The platform turns one machine away while an operator evacuates a data centre and takes it
     * back. That machine's callers must not be sent there: its peer tells it of both.
     */
    @Test
    public void anInstanceThatThePlatformTurnsAwayLearnsOfThemFromItsPeer() throws Exception {
      int port = freePort();
      Source good = new Source();
      good.answer(3, "a");
      Learner seed = new Learner(port, List.of(at(port)), good);
      Learner alone = new Learner(freePort(), List.of(at(port)), new Source());
      good.waiting.await();
      change(seed, good, new OperatorState(RouteTable.EMPTY, evacuations(4, "here")));
      await(alone, "here");
      change(seed, good, new OperatorState(RouteTable.EMPTY, evacuations(5)));
      await(alone);
    }

    private static void change(Learner seed, Source source, OperatorState state) {
      seed.control.execute(
          () -> source.waits.removeFirst().accept(new StateSource.Read.Known<>(state)));
    }

    private static Evacuations evacuations(long version, String... dataCentres) {
      return new Evacuations(version, Set.of(dataCentres));
    }

    /** A read that was under way when the data centre was evacuated must not take it back. */
    @Test
    public void anOlderReadTakesNothingBack() throws IOException {
      Learner learner = new Learner(freePort(), List.of(), new Source());
      learner.knownState.offer(evacuations(7, "here"), "test");
      learner.knownState.offer(evacuations(6), "test");
      await(learner, "here");
    }

    /** An instance that does not know what is evacuated must not call itself ready. */
    @Test
    public void withoutThemAnInstanceIsNotReady() throws IOException {
      Learner learner = new Learner(freePort(), List.of(), new Source());
      learner.knownState.offer(table(1), "test");
      learner.knownState.offer(new ServerList(1, Map.of()));
      assertFalse(learner.knownState.complete());
      learner.knownState.offer(evacuations(1), "test");
      assertTrue(learner.knownState.complete());
    }
  }

  /** Faults of the platform. */
  public static final class Outages {
    /** The wait for changes fails (its history is gone): a plain read must follow by itself. */
    @Test
    public void aFailedWaitIsFollowedByARead() throws Exception {
      int port = freePort();
      Source source = new Source();
      source.answer(6, "a");
      Learner seed = new Learner(port, List.of(at(port)), source);
      seed.awaitVersion(6);
      source.waiting.await();
      source.answer(7, "a");
      seed.control.execute(
          () -> source.waits.removeFirst().accept(new StateSource.Read.Failed<>("history_gone")));
      seed.awaitVersion(7);
    }

    /** A deaf wait must not be taken for quiet while the servers are still read. */
    @Test
    public void aDeafWaitIsNoticedThoughServersAreRead() throws Exception {
      List<InetSocketAddress> seeds = List.of(at(freePort()), at(freePort()));
      Source deaf = new Source();
      deaf.answer(6, "a");
      Learner first = new Learner(seeds.getFirst().getPort(), seeds, deaf);
      Source source = new Source();
      source.answer(6, "a");
      Learner second = new Learner(seeds.getLast().getPort(), seeds, source);
      first.awaitVersion(6);
      second.awaitVersion(6);
      source.answer(7, "a");
      first.awaitVersion(7);
      assertTrue(deaf.waiting.getCount() == 0, "waits");
    }

    /** The platform answers with an older version after a newer one: nothing may change. */
    @Test
    public void anOlderConfigurationChangesNothing() throws IOException {
      Source source = new Source();
      source.answer(9, "a");
      Learner learner = new Learner(freePort(), List.of(), source);
      learner.awaitVersion(9);
      source.configuration.set(new StateSource.Read.Known<>(declared(8)));
      int before = source.reads.get();
      while (source.reads.get() < before + 2) {
        Thread.onSpinWait();
      }
      assertEquals(learner.knownState.routesVersion(), 9);
    }

    @Test
    public void anInstanceStartsWhenThePlatformComesBack() throws Exception {
      Source source = new Source();
      Learner learner = new Learner(freePort(), List.of(), source);
      while (source.reads.get() < 2) {
        Thread.onSpinWait();
      }
      source.answer(1, "a");
      learner.awaitVersion(1);
    }
  }
}
