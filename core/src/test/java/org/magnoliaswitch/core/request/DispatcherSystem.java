package org.magnoliaswitch.core.request;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.IntFunction;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.clock.HybridClock;
import org.magnoliaswitch.core.peer.MemberState;
import org.magnoliaswitch.core.process.CrashWatch;
import org.magnoliaswitch.core.process.LeavingServers;
import org.magnoliaswitch.core.process.Membership;
import org.magnoliaswitch.core.process.RefusedResponses;
import org.magnoliaswitch.core.process.ServiceRegistry;
import org.magnoliaswitch.core.process.ServiceState;
import org.magnoliaswitch.core.process.Timeline;
import org.magnoliaswitch.core.testing.Declarations;
import org.magnoliaswitch.core.testing.ScriptedServer;
import org.magnoliaswitch.core.testing.ScriptedServer.Action;
import org.magnoliaswitch.core.version.Profile;
import org.magnoliaswitch.core.version.RequestKind;
import org.magnoliaswitch.core.version.RetryPolicy;
import org.magnoliaswitch.core.version.Snapshot;
import org.magnoliaswitch.core.version.SnapshotParser;

/** A dispatcher with raw servers that share one sequence of answers. */
final class DispatcherSystem implements AutoCloseable {
  private final List<ScriptedServer> servers = new ArrayList<>();
  private final Clocks clocks = Clocks.system();
  private final Timeline timeline = new Timeline("i", new HybridClock(clocks.wall()), 100);
  private final RefusedResponses refusedResponses = new RefusedResponses(timeline);
  private final ServiceState service;
  private final Dispatcher dispatcher;
  private final java.util.concurrent.atomic.AtomicInteger nextAnswer =
      new java.util.concurrent.atomic.AtomicInteger();

  DispatcherSystem(int count, IntFunction<Action> answers) throws Exception {
    this(count, answers, Declarations.profile().retry());
  }

  DispatcherSystem(int count, IntFunction<Action> answers, RetryPolicy retry) throws Exception {
    for (int i = 0; i < count; i++) {
      servers.add(new ScriptedServer(n -> answers.apply(nextAnswer.getAndIncrement())));
    }
    int[] ports = servers.stream().mapToInt(ScriptedServer::port).toArray();
    this.service = service(ports, retry);
    this.dispatcher = dispatcher();
  }

  /** Creates a dispatcher with one port on which no server listens. */
  DispatcherSystem(int port) throws Exception {
    this.service = service(new int[] {port}, Declarations.profile().retry());
    this.dispatcher = dispatcher();
  }

  /** Creates a dispatcher with one server. */
  private DispatcherSystem(Function<ScriptedServer.Received, Action> answers) throws Exception {
    servers.add(ScriptedServer.answering(answers));
    this.service = service(new int[] {servers.getFirst().port()}, Declarations.profile().retry());
    this.dispatcher = dispatcher();
  }

  /** Creates a dispatcher with one server whose answers depend on the requests. */
  static DispatcherSystem answering(Function<ScriptedServer.Received, Action> answers)
      throws Exception {
    return new DispatcherSystem(answers);
  }

  /** Creates a dispatcher with one server whose response echoes the ids of requests. */
  static DispatcherSystem echoing(String response) throws Exception {
    return new DispatcherSystem(received -> new Action.Send(withId(response, received.id())));
  }

  private ServiceState service(int[] ports, RetryPolicy retry) throws Exception {
    Profile base = Declarations.profile();
    Profile profile =
        new Profile(
            base.name(),
            base.routing(),
            base.measuring(),
            base.admission(),
            retry,
            base.keys(),
            base.refusalStatuses(),
            base.kinds());
    Snapshot snapshot =
        SnapshotParser.parse(1, "d", Declarations.parts(profile, Declarations.service(ports)));
    Membership membership =
        new Membership(
            new org.magnoliaswitch.core.peer.Member(
                "me", "i", "dc-1", "127.0.0.1", 1, 2, 3, 0, MemberState.SERVING),
            clocks);
    ServiceRegistry registry = new ServiceRegistry(membership, clocks);
    registry.apply(snapshot);
    return registry.state().services().get("booking");
  }

  private Dispatcher dispatcher() {
    LeavingServers leaving = new LeavingServers(clocks);
    AttemptRunner runner = new AttemptRunner(clocks, timeline, refusedResponses, leaving, () -> {});
    SplittableRandom random = new SplittableRandom(1);
    return new Dispatcher(
        clocks, timeline, leaving, runner, new CrashWatch(clocks), "dc-1", () -> random);
  }

  Reply send(RequestKind kind, long deadlineMillis) {
    return send(kind, deadlineMillis, 1);
  }

  Reply send(RequestKind kind, long deadlineMillis, int attempt) {
    return send(kind, deadlineMillis, attempt, "r");
  }

  Reply send(RequestKind kind, long deadlineMillis, String id) {
    return send(kind, deadlineMillis, 1, id);
  }

  private Reply send(RequestKind kind, long deadlineMillis, int attempt, String id) {
    return dispatcher.dispatch(
        new InboundRequest(
            id,
            kind.method(),
            "/booking/book",
            List.of(),
            new InboundRequest.Body.Buffered(new byte[3]),
            service,
            kind,
            Deadline.after(clocks.nanos(), deadlineMillis),
            new InboundRequest.Attempt(attempt, true, ""),
            Optional.empty(),
            "10.0.0.1"));
  }

  int requests() {
    return servers.stream().mapToInt(ScriptedServer::requests).sum();
  }

  int connections() {
    return servers.stream().mapToInt(ScriptedServer::connections).sum();
  }

  int inFlight() {
    return service.admission().inFlight();
  }

  @Override
  public void close() throws IOException {
    for (ScriptedServer server : servers) {
      server.close();
    }
  }

  /** Adds the header with an id to a response. */
  static String withId(String response, String id) {
    return response.replaceFirst("\r\n", "\r\nX-Request-Id: " + id + "\r\n");
  }

  Timeline timeline() {
    return timeline;
  }

  RefusedResponses refusedResponses() {
    return refusedResponses;
  }
}
