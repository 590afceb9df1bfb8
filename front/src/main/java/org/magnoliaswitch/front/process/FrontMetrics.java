package org.magnoliaswitch.front.process;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import org.HdrHistogram.ConcurrentHistogram;
import org.jspecify.annotations.Nullable;

/**
 * Counters and latencies of this instance, as a page for Prometheus.
 *
 * <p>Counting is an addition; the registry and its classes are loaded at the first scrape, so that
 * a restart, which callers wait for, does not pay for them. Labels are service names and the words
 * in this program, so their number is bounded by the configuration.
 */
public final class FrontMetrics {
  /** Latencies above this count as this much. */
  private static final long HIGHEST_MILLIS = TimeUnit.MINUTES.toMillis(2);

  private static final int DIGITS = 2;
  private static final double[] QUANTILES = {0.5, 0.9, 0.99, 0.999};

  /**
   * One counter.
   *
   * @param name name of the metric
   * @param service service it is about, or an empty text
   * @param result how what is counted ended
   */
  private record Key(String name, String service, String result) {}

  private final Map<Key, LongAdder> counters = new ConcurrentHashMap<>();
  private final Map<String, ConcurrentHistogram> latencies = new ConcurrentHashMap<>();
  private final Map<String, LongSupplier> gauges = new ConcurrentHashMap<>();
  private final Map<Object, Boolean> registered = new ConcurrentHashMap<>();
  private @Nullable PrometheusMeterRegistry registry;

  /** Counts one event. */
  public void count(String name, String service, String result) {
    counters.computeIfAbsent(new Key(name, service, result), key -> new LongAdder()).increment();
  }

  /** Records how long a whole answer took. */
  public void latency(String service, long nanos) {
    long millis = Math.clamp(TimeUnit.NANOSECONDS.toMillis(nanos), 0, HIGHEST_MILLIS);
    latencies
        .computeIfAbsent(service, name -> new ConcurrentHistogram(HIGHEST_MILLIS, DIGITS))
        .recordValue(millis);
  }

  /** Shows a value of the moment. */
  public void gauge(String name, LongSupplier value) {
    gauges.put(name, value);
  }

  /** The page. */
  public synchronized String scrape() {
    if (registry == null) {
      registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    }
    PrometheusMeterRegistry target = registry;
    counters.forEach((key, value) -> once(key, () -> register(target, key, value)));
    gauges.forEach((name, value) -> once(name, () -> register(target, name, value)));
    latencies.forEach((service, value) -> once(value, () -> register(target, service, value)));
    return target.scrape();
  }

  private void once(Object key, Runnable register) {
    if (registered.putIfAbsent(key, true) == null) {
      register.run();
    }
  }

  private static void register(PrometheusMeterRegistry target, Key key, LongAdder value) {
    FunctionCounter.builder("magnolia." + key.name(), value, LongAdder::sum)
        .tags(Tags.of("service", key.service(), "result", key.result()))
        .register(target);
  }

  private static void register(PrometheusMeterRegistry target, String name, LongSupplier value) {
    Gauge.builder("magnolia." + name, value, LongSupplier::getAsLong).register(target);
  }

  private static void register(
      PrometheusMeterRegistry target, String service, ConcurrentHistogram value) {
    for (double quantile : QUANTILES) {
      Gauge.builder(
              "magnolia.answer.milliseconds",
              value,
              histogram -> histogram.getValueAtPercentile(100 * quantile))
          .tags(Tags.of("service", service, "quantile", Double.toString(quantile)))
          .register(target);
    }
  }
}
