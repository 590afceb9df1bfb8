package org.magnoliaswitch.front.process;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import org.HdrHistogram.ConcurrentHistogram;
import org.jspecify.annotations.Nullable;

/**
 * Counters, gauges and latencies of this instance in the text format of Prometheus.
 *
 * <p>Counting only increments a number. The registry and its classes are loaded at the first
 * scrape, so that they do not delay a restart while callers wait. Label values are service names
 * and constants of this program, so the configuration bounds their number.
 */
public final class FrontMetrics {
  /** Latencies above this value are recorded as this value. */
  private static final long HIGHEST_MILLIS = TimeUnit.MINUTES.toMillis(2);

  private static final int SIGNIFICANT_DIGITS = 2;
  private static final double[] QUANTILES = {0.5, 0.9, 0.99, 0.999};

  /**
   * Identifies a counter.
   *
   * @param name name of the metric
   * @param service name of the service, or an empty string
   * @param result result of the counted events
   */
  private record Key(String name, String service, String result) {
    /**
     * Compares the components directly: the generated methods are slow until they are compiled, and
     * these run several times for each request.
     */
    @Override
    public boolean equals(@Nullable Object other) {
      return other instanceof Key key
          && name.equals(key.name)
          && service.equals(key.service)
          && result.equals(key.result);
    }

    @Override
    public int hashCode() {
      return 31 * (31 * name.hashCode() + service.hashCode()) + result.hashCode();
    }
  }

  /** Teams that are counted by name; the requests of further teams are counted together. */
  private static final int MAX_TEAMS = 500;

  private static final String OTHER_TEAMS = "other";

  private final Map<Key, LongAdder> counters = new ConcurrentHashMap<>();
  private final Set<String> countedTeams = ConcurrentHashMap.newKeySet();
  private final Map<String, ConcurrentHistogram> latencies = new ConcurrentHashMap<>();
  private final Map<String, LongSupplier> gauges = new ConcurrentHashMap<>();
  private final Map<Object, Boolean> registered = new ConcurrentHashMap<>();
  private @Nullable PrometheusMeterRegistry registry;

  /** Counts one event. */
  public void count(String name, String service, String result) {
    counters.computeIfAbsent(new Key(name, service, result), key -> new LongAdder()).increment();
  }

  /** Counts one request of a team. */
  public void countTeam(String team, String result) {
    boolean byName =
        countedTeams.contains(team) || (countedTeams.size() < MAX_TEAMS && countedTeams.add(team));
    count("team.requests", byName ? team : OTHER_TEAMS, result);
  }

  /** Records the time until a response was complete. */
  public void latency(String service, long nanos) {
    long millis = Math.clamp(TimeUnit.NANOSECONDS.toMillis(nanos), 0, HIGHEST_MILLIS);
    latencies
        .computeIfAbsent(
            service, name -> new ConcurrentHistogram(HIGHEST_MILLIS, SIGNIFICANT_DIGITS))
        .recordValue(millis);
  }

  /** Registers a gauge, which is read at each scrape. */
  public void gauge(String name, LongSupplier value) {
    gauges.put(name, value);
  }

  /** Returns the page that Prometheus scrapes. */
  public synchronized String scrape() {
    if (registry == null) {
      registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    }
    PrometheusMeterRegistry target = registry;
    counters.forEach((key, value) -> registerOnce(key, () -> register(target, key, value)));
    gauges.forEach((name, value) -> registerOnce(name, () -> register(target, name, value)));
    latencies.forEach(
        (service, value) -> registerOnce(value, () -> register(target, service, value)));
    return target.scrape();
  }

  private void registerOnce(Object key, Runnable register) {
    if (registered.putIfAbsent(key, true) == null) {
      register.run();
    }
  }

  private static void register(PrometheusMeterRegistry target, Key key, LongAdder value) {
    String subject = key.name().startsWith("team.") ? "team" : "service";
    FunctionCounter.builder("magnolia." + key.name(), value, LongAdder::sum)
        .tags(Tags.of(subject, key.service(), "result", key.result()))
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
