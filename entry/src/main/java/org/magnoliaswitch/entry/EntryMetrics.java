package org.magnoliaswitch.entry;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.core.process.ControlPlane;
import org.magnoliaswitch.core.process.RefusedResponses;
import org.magnoliaswitch.core.request.Outcome;
import org.magnoliaswitch.core.request.Reply;

/** Prometheus metrics of an entry process. */
@Singleton
final class EntryMetrics {
  private final PrometheusMeterRegistry registry;
  private final Map<Outcome, Counter> requestsByOutcome = new EnumMap<>(Outcome.class);
  private final Timer latency;

  @Inject
  EntryMetrics(PrometheusMeterRegistry registry, ControlPlane control) {
    this.registry = registry;
    for (Outcome outcome : Outcome.values()) {
      requestsByOutcome.put(
          outcome,
          Counter.builder("magnolia.requests").tag("outcome", outcome.text()).register(registry));
    }
    this.latency =
        Timer.builder("magnolia.request.latency").publishPercentiles(0.5, 0.99).register(registry);
    registerGauges(control);
    new JvmMemoryMetrics().bindTo(registry);
    new ProcessorMetrics().bindTo(registry);
    bindGarbageCollectionMetrics();
  }

  /** Counts a reply by its outcome and records the latency of its request. */
  void recordReply(Reply reply, long latencyNanos) {
    Counter counter = requestsByOutcome.get(reply.outcome());
    if (counter != null) {
      counter.increment();
    }
    latency.record(latencyNanos, TimeUnit.NANOSECONDS);
  }

  /** Returns all metrics in the text format of Prometheus. */
  String scrape() {
    return registry.scrape();
  }

  private void registerGauges(ControlPlane control) {
    Gauge.builder("magnolia.version", () -> control.state().version().get().version())
        .register(registry);
    Gauge.builder("magnolia.members", () -> control.state().membership().size()).register(registry);
    Gauge.builder("magnolia.peer.bytes", () -> control.traffic().bytes().get()).register(registry);
    Gauge.builder("magnolia.peer.messages", () -> control.traffic().messages().get())
        .register(registry);
    Gauge.builder("magnolia.peer.refused", () -> control.traffic().rejected().get())
        .register(registry);
    FunctionCounter.builder(
            "magnolia.responses.refused",
            control.state().refusedResponses(),
            RefusedResponses::count)
        .register(registry);
    Gauge.builder("magnolia.probes", () -> control.prober().probesSent()).register(registry);
    Gauge.builder("magnolia.claim.transactions", () -> control.batcher().transactions())
        .register(registry);
    Gauge.builder("magnolia.outcome.segments", () -> control.records().segments())
        .register(registry);
    Gauge.builder("magnolia.paths.lost", () -> control.connections().paths().lostCount())
        .register(registry);
    Gauge.builder("magnolia.relayed.connections", () -> control.peerServer().relayed())
        .register(registry);
    Gauge.builder("magnolia.keys", () -> control.ledger().size()).register(registry);
  }

  @SuppressWarnings("resource") // Never closed, because it is needed until the process exits.
  private void bindGarbageCollectionMetrics() {
    new JvmGcMetrics().bindTo(registry);
  }
}
