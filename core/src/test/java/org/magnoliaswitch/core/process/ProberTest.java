package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.clock.HybridClock;
import org.magnoliaswitch.core.connection.BackendConnection;
import org.magnoliaswitch.core.connection.ConnectionPool;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.peer.MemberState;
import org.magnoliaswitch.core.testing.Declarations;
import org.magnoliaswitch.core.testing.ManualClock;
import org.magnoliaswitch.core.testing.ScriptedServer;
import org.magnoliaswitch.core.testing.ScriptedServer.Action;
import org.magnoliaswitch.core.testing.ScriptedServer.Received;
import org.magnoliaswitch.core.version.ProbeBudget;
import org.magnoliaswitch.core.version.SnapshotParser;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the bound on the probes of all instances together. */
public final class ProberTest {
  @DataProvider
  public static Object[][] instances() {
    return new Object[][] {
      {18, 18}, {36, 18}, {36, 1}, {40, 40},
    };
  }

  /**
   * Instances know only as many instances as the second number says, since the list is frozen or
   * unavailable, and each requests a probe at every opportunity. The budget must still hold in
   * every window, because the declared maximum number of instances bounds the rate of each.
   */
  @Test(dataProvider = "instances")
  public void staysWithinBudgetWhateverTheKnownInstances(int alive, int known) {
    ProbeBudget budget = new ProbeBudget(5, 40);
    ManualClock time = new ManualClock();
    List<ServerLoad> loads = new ArrayList<>();
    for (int i = 0; i < alive; i++) {
      loads.add(new ServerLoad(Declarations.server("s", 1), time.read()));
    }
    SplittableRandom random = new SplittableRandom(4);
    List<Long> probes = new ArrayList<>();
    for (int step = 0; step < 4_000; step++) {
      time.advance(Duration.ofMillis(random.nextInt(20)));
      ServerLoad load = loads.get(random.nextInt(alive));
      if (load.tryClaimProbe(time.read(), Prober.minIntervalNanos(budget, known))) {
        probes.add(time.read());
      }
    }
    long window = Duration.ofMillis(budget.minIntervalMillis()).toNanos();
    double allowed = budget.probesPerSecond() * budget.minIntervalMillis() / 1_000.0;
    for (long start : probes) {
      long probesInWindow = probes.stream().filter(p -> p >= start && p < start + window).count();
      assertTrue(probesInWindow <= allowed, probesInWindow + " probes, allowed " + allowed);
    }
  }

  @Test
  public void moreInstancesThanDeclaredLengthenTheInterval() {
    ProbeBudget budget = new ProbeBudget(5, 40);
    assertEquals(Prober.minIntervalNanos(budget, 80), 2 * Prober.minIntervalNanos(budget, 40));
  }

  /** Servers that answer a request twice, the second time after a probe was written, or a probe. */
  public static final class LateResponses {
    private static final int LATE_LOAD = 5;
    private static final int OWN_LOAD = 2;

    private static String answer(Received received, int status, int load) {
      String id = received.id().isEmpty() ? "" : "X-Request-Id: " + received.id() + "\r\n";
      return "HTTP/1.1 "
          + status
          + " Status\r\n"
          + id
          + LoadReport.HEADER
          + ": "
          + new LoadReport(load, 6, false).format()
          + "\r\nContent-Length: 0\r\n\r\n";
    }

    /** Answers the first exchange on each connection again when the second one begins. */
    private static Function<Received, Action> twice(int cut, int requestStatus) {
      Map<Integer, String> answers = new ConcurrentHashMap<>();
      return received -> {
        boolean first = received.onConnection() == 0;
        String answer =
            answer(received, received.probe() ? 200 : requestStatus, first ? LATE_LOAD : OWN_LOAD);
        answers.put(received.index(), answer);
        String late = first ? "" : answers.get(received.index() - 1);
        return new Action.Send(late.substring(0, Math.min(cut, late.length())) + answer);
      };
    }

    private static ClassicHttpResponse exchange(BackendConnection connection, String id)
        throws IOException, HttpException {
      connection.setReadTimeout(TimeUnit.SECONDS.toNanos(5));
      BasicClassicHttpRequest request = new BasicClassicHttpRequest("GET", "/");
      request.setHeader("X-Request-Id", id);
      connection.send(request);
      ClassicHttpResponse response = connection.receiveHead();
      connection.receiveBody(response);
      byte[] unused = response.getEntity().getContent().readAllBytes();
      return response;
    }

    /**
     * Guards against the load of a server that is read from a copy of its response to a request.
     * The copy breaks off after each number of its bytes in turn.
     */
    @Test(timeOut = 120_000)
    public void probeDoesNotReadTheResponseToARequest() throws Exception {
      List<String> wrong = new ArrayList<>();
      int length = answer(new Received(0, 0, "X-Request-Id: r-0"), 200, LATE_LOAD).length();
      for (int cut = 1; cut <= length; cut++) {
        try (ScriptedServer server = ScriptedServer.answering(twice(cut, 200))) {
          TestProber prober = new TestProber(server.port());
          ConnectionPool pool = prober.handle.pool();
          BackendConnection connection = pool.acquire(Long.MAX_VALUE, 1_000, "r-0");
          assertEquals(exchange(connection, "r-0").getCode(), 200);
          pool.release(connection);
          int load = prober.loadAfterProbe();
          // A probe that failed leaves the load as it was; one on a new connection reads its own.
          boolean fresh = server.connections() == 2;
          if (load != 0 && load != OWN_LOAD && !(fresh && load == LATE_LOAD)) {
            wrong.add(cut + ": " + load);
          }
        }
      }
      assertEquals(wrong, List.of(), wrong.size() + " of " + length + " cuts");
    }

    /** Guards against the response to a probe that is taken for that to a request. */
    @Test(timeOut = 120_000)
    public void requestDoesNotReadTheResponseToAProbe() throws Exception {
      List<String> wrong = new ArrayList<>();
      int length = answer(new Received(0, 0, ""), 200, LATE_LOAD).length();
      for (int cut = 1; cut <= length; cut++) {
        try (ScriptedServer server = ScriptedServer.answering(twice(cut, 500))) {
          TestProber prober = new TestProber(server.port());
          int unused = prober.loadAfterProbe();
          BackendConnection connection = prober.handle.pool().acquire(Long.MAX_VALUE, 1_000, "r-0");
          int status = 0;
          try {
            status = exchange(connection, "r-0").getCode();
          } catch (IOException | HttpException e) {
            status = 0;
          }
          if (status != 0 && status != 500) {
            wrong.add(cut + ": " + status);
          }
          prober.handle.pool().discard(connection);
        }
      }
      assertEquals(wrong, List.of(), wrong.size() + " of " + length + " cuts");
    }

    /** Guards against probes that lose connections of a server which echoes their ids. */
    @Test
    public void probesShareTheConnectionsOfRequests() throws Exception {
      try (ScriptedServer server =
          ScriptedServer.answering(received -> new Action.Send(answer(received, 200, OWN_LOAD)))) {
        TestProber prober = new TestProber(server.port());
        for (int i = 0; i < 3; i++) {
          assertEquals(prober.loadAfterProbe(), OWN_LOAD);
          BackendConnection connection = prober.handle.pool().acquire(Long.MAX_VALUE, 1_000, "");
          assertEquals(exchange(connection, "r-" + i).getCode(), 200);
          prober.handle.pool().release(connection);
        }
        assertEquals(server.connections(), 1);
      }
    }

    /** Guards against probes that fail since a server echoes the ids of requests only. */
    @Test
    public void probesWithoutIdsAreReadOnNewConnections() throws Exception {
      Function<Received, Action> answers =
          received ->
              new Action.Send(
                  answer(
                      received.probe() ? new Received(0, 0, "") : received,
                      200,
                      received.probe() ? OWN_LOAD : LATE_LOAD));
      try (ScriptedServer server = ScriptedServer.answering(answers)) {
        TestProber prober = new TestProber(server.port());
        for (int i = 0; i < 3; i++) {
          assertEquals(prober.loadAfterProbe(), OWN_LOAD);
          BackendConnection connection = prober.handle.pool().acquire(Long.MAX_VALUE, 1_000, "");
          assertEquals(exchange(connection, "r-" + i).getCode(), 200);
          prober.handle.pool().release(connection);
        }
        assertEquals(server.connections(), 4, "one for each probe, one for all requests");
      }
    }

    /** A prober of one server. */
    private static final class TestProber {
      private final Prober prober;
      private final ServiceState service;
      private final ServerHandle handle;

      TestProber(int port) throws Exception {
        Clocks clocks = Clocks.system();
        Timeline timeline = new Timeline("i", new HybridClock(clocks.wall()), 100);
        Member self = new Member("me", "i", "dc-1", "127.0.0.1", 1, 2, 3, 0, MemberState.SERVING);
        Membership membership = new Membership(self, clocks);
        ServiceRegistry registry = new ServiceRegistry(membership, clocks);
        registry.apply(
            SnapshotParser.parse(
                1, "d", Declarations.parts(Declarations.profile(), Declarations.service(port))));
        ControlState state =
            new ControlState(
                membership,
                new LeavingServers(clocks),
                new CurrentVersion(new ContentCache(), timeline),
                timeline,
                new RefusedResponses(timeline),
                new CrashWatch(clocks),
                new LastContact(clocks));
        this.prober = new Prober(registry, state, clocks, () -> {});
        this.service = registry.state().services().get("booking");
        this.handle = service.servers().getFirst();
      }

      /** Sends a probe; returns the load that is known once it has ended, 0 if it failed. */
      int loadAfterProbe() {
        prober.probe(service, handle);
        return handle.load().lastReport().report().requests();
      }
    }
  }
}
