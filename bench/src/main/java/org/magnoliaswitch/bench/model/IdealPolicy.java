package org.magnoliaswitch.bench.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps one queue for all slots of a service and knows the current state of every server: an upper
 * bound for load balancers that cannot predict the future.
 */
final class IdealPolicy implements Policy {
  private static final double DISPATCH_INTERVAL_MILLIS = 1;
  private static final double CALLER_NETWORK_MILLIS = 3;

  /**
   * Orders requests that can be answered in time first, then by priority, then the most recent
   * first.
   */
  private static final Comparator<QueuedRequest> ORDER =
      Comparator.<QueuedRequest>comparingInt(queued -> queued.late ? 1 : 0)
          .thenComparingInt(queued -> queued.request.kind().route().priority())
          .thenComparing(queued -> queued.request.startMillis(), Comparator.reverseOrder());

  private static final class QueuedRequest {
    private final ModelRequest request;
    private final int instance;
    private boolean late;

    QueuedRequest(ModelRequest request, int instance) {
      this.request = request;
      this.instance = instance;
    }
  }

  private final Simulation simulation;
  private final Callers callers;
  private final Map<String, List<QueuedRequest>> queues = new HashMap<>();

  IdealPolicy(Simulation simulation, Callers callers) {
    this.simulation = simulation;
    this.callers = callers;
    simulation.time().everyMillis(DISPATCH_INTERVAL_MILLIS, this::dispatch);
  }

  @Override
  public void receive(ModelRequest request, int instance) {
    queues
        .computeIfAbsent(request.kind().service(), name -> new ArrayList<>())
        .add(new QueuedRequest(request, instance));
  }

  private void dispatch() {
    long now = simulation.time().nanos();
    queues.forEach(
        (service, queue) -> {
          queue.removeIf(queued -> queued.request.ended());
          for (QueuedRequest queued : queue) {
            long remainingNanos =
                VirtualTime.nanosOf(queued.request.workMillis() + CALLER_NETWORK_MILLIS);
            queued.late = now + remainingNanos > queued.request.objectiveEndNanos();
          }
          queue.sort(ORDER);
          queue.removeIf(queued -> place(service, queued));
        });
  }

  private boolean place(String service, QueuedRequest queued) {
    Optional<ModelServer> best =
        simulation.servers(service).stream()
            .filter(server -> !server.silent() && canServe(server, queued))
            .min(Comparator.comparingDouble(server -> server.sample().outstanding()));
    best.ifPresent(server -> send(queued, server));
    return best.isPresent();
  }

  private boolean canServe(ModelServer server, QueuedRequest queued) {
    if (server.atKnee()) {
      return false;
    }
    double work = queued.request.workMillis() * server.sample().slowness();
    long end = simulation.time().nanos() + VirtualTime.nanosOf(work + CALLER_NETWORK_MILLIS);
    return end <= (queued.late ? queued.request.deadlineNanos() : objectiveEnd(queued));
  }

  private static long objectiveEnd(QueuedRequest queued) {
    return queued.request.objectiveEndNanos();
  }

  private void send(QueuedRequest queued, ModelServer server) {
    double networkMillis = simulation.networkMillis(queued.instance, server);
    ModelServer.Job job =
        new ModelServer.Job(
            queued.request.workMillis() + networkMillis,
            sample ->
                simulation
                    .time()
                    .afterMillis(networkMillis, () -> callers.answered(queued.request)));
    server.offer(job);
    long remainingNanos = queued.request.deadlineNanos() - simulation.time().nanos();
    simulation.time().after(remainingNanos, () -> server.cancel(job));
  }
}
