package org.magnoliaswitch.bench.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One queue over all slots of a service with perfect knowledge of the moment: the best that any
 * balancer could do that cannot see into the future.
 */
final class IdealPolicy implements Policy {
  private static final double LOOK_MILLIS = 1;
  private static final double CALLER_MILLIS = 3;

  /** Those that can be in time first, then the most urgent, then the youngest. */
  private static final Comparator<Waiting> ORDER =
      Comparator.<Waiting>comparingInt(waiting -> waiting.late ? 1 : 0)
          .thenComparingInt(waiting -> waiting.request.kind().route().priority())
          .thenComparing(waiting -> waiting.request.firstMillis(), Comparator.reverseOrder());

  private static final class Waiting {
    private final ModelRequest request;
    private final int instance;
    private boolean late;

    Waiting(ModelRequest request, int instance) {
      this.request = request;
      this.instance = instance;
    }
  }

  private final World world;
  private final Callers callers;
  private final Map<String, List<Waiting>> queues = new HashMap<>();

  IdealPolicy(World world, Callers callers) {
    this.world = world;
    this.callers = callers;
    world.time().everyMillis(LOOK_MILLIS, this::look);
  }

  @Override
  public void arrive(ModelRequest request, int instance) {
    queues
        .computeIfAbsent(request.kind().service(), name -> new ArrayList<>())
        .add(new Waiting(request, instance));
  }

  private void look() {
    long now = world.time().nanos();
    queues.forEach(
        (service, queue) -> {
          queue.removeIf(waiting -> waiting.request.ended());
          for (Waiting waiting : queue) {
            long needed = VirtualTime.nanosOf(waiting.request.workMillis() + CALLER_MILLIS);
            waiting.late = now + needed > waiting.request.objectiveEndNanos();
          }
          queue.sort(ORDER);
          queue.removeIf(waiting -> place(service, waiting));
        });
  }

  private boolean place(String service, Waiting waiting) {
    Optional<ModelServer> best =
        world.servers(service).stream()
            .filter(server -> !server.lost() && suits(server, waiting))
            .min(Comparator.comparingDouble(server -> server.sample().outstanding()));
    best.ifPresent(server -> send(waiting, server));
    return best.isPresent();
  }

  private boolean suits(ModelServer server, Waiting waiting) {
    if (server.atKnee()) {
      return false;
    }
    double work = waiting.request.workMillis() * server.sample().slowness();
    long end = world.time().nanos() + VirtualTime.nanosOf(work + CALLER_MILLIS);
    return end <= (waiting.late ? waiting.request.deadlineNanos() : objectiveEnd(waiting));
  }

  private static long objectiveEnd(Waiting waiting) {
    return waiting.request.objectiveEndNanos();
  }

  private void send(Waiting waiting, ModelServer server) {
    double network = World.networkMillis(waiting.instance, server);
    ModelServer.Job job =
        new ModelServer.Job(
            waiting.request.workMillis() + network,
            told -> world.time().afterMillis(network, () -> callers.answered(waiting.request)));
    server.take(job);
    long left = waiting.request.deadlineNanos() - world.time().nanos();
    world.time().after(left, () -> server.cancel(job));
  }
}
