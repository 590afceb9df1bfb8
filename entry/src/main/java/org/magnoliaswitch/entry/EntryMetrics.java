package org.magnoliaswitch.entry;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import io.micrometer.core.instrument.Counter;
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
import org.magnoliaswitch.core.request.Outcome;
import org.magnoliaswitch.core.request.Reply;

/** Counters and gauges of an entry process. */
@Singleton
final class EntryMetrics {
  private final PrometheusMeterRegistry registry;
  private final Map<Outcome, Counter> byOutcome = new EnumMap<>(Outcome.class);
  private final Timer latency;

  @Inject
  EntryMetrics(PrometheusMeterRegistry registry, ControlPlane control) {
    this.registry = registry;
    for (Outcome outcome : Outcome.values()) {
      byOutcome.put(
          outcome,
          Counter.builder("magnolia.requests").tag("outcome", outcome.text()).register(registry));
    }
    this.latency =
        Timer.builder("magnolia.request.latency").publishPercentiles(0.5, 0.99).register(registry);
    gauges(control);
    new JvmMemoryMetrics().bindTo(registry);
    new ProcessorMetrics().bindTo(registry);
    bindGarbageCollection();
  }

  void answered(Reply reply, long nanos) {
    Counter counter = byOutcome.get(reply.outcome());
    if (counter != null) {
      counter.increment();
    }
    latency.record(nanos, TimeUnit.NANOSECONDS);
  }

  String scrape() {
    return registry.scrape();
  }

  private void gauges(ControlPlane control) {
    Gauge.builder("magnolia.version", () -> control.state().version().get().version())
        .register(registry);
    Gauge.builder("magnolia.members", () -> control.state().membership().size()).register(registry);
    Gauge.builder("magnolia.peer.bytes", () -> control.traffic().bytes().get()).register(registry);
    Gauge.builder("magnolia.peer.messages", () -> control.traffic().messages().get())
        .register(registry);
    Gauge.builder("magnolia.peer.refused", () -> control.traffic().rejected().get())
        .register(registry);
    Gauge.builder("magnolia.probes", () -> control.prober().probesSent()).register(registry);
    Gauge.builder("magnolia.claim.transactions", () -> control.batcher().transactions())
        .register(registry);
    Gauge.builder("magnolia.outcome.segments", () -> control.records().segments())
        .register(registry);
    Gauge.builder("magnolia.keys", () -> control.ledger().size()).register(registry);
  }

  @SuppressWarnings("resource") // Lives as long as the process.
  private void bindGarbageCollection() {
    new JvmGcMetrics().bindTo(registry);
  }
}
