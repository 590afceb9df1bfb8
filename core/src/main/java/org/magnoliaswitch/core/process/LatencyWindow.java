package org.magnoliaswitch.core.process;

import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * The most recent latencies of a service, for quantiles.
 *
 * <p>The samples are sorted by the first request that finds the quantiles outdated, so only one
 * request per {@link #REFRESH_NANOS} bears the cost.
 */
public final class LatencyWindow {
  private static final int CAPACITY = 512;
  private static final int MIN_SAMPLES = 20;
  private static final long REFRESH_NANOS = 100_000_000L;

  private final AtomicLongArray samples = new AtomicLongArray(CAPACITY);
  private final AtomicLong count = new AtomicLong();
  private final AtomicLong refreshedNanos = new AtomicLong(Long.MIN_VALUE);
  private volatile long[] sorted = new long[0];

  /** Adds a latency. */
  public void add(long nanos) {
    samples.set((int) (count.getAndIncrement() % CAPACITY), nanos);
  }

  /** Returns a quantile in nanoseconds, or the fallback if there are too few samples. */
  public long quantile(double quantile, long nowNanos, long fallbackNanos) {
    refresh(nowNanos);
    long[] values = sorted;
    if (values.length < MIN_SAMPLES) {
      return fallbackNanos;
    }
    return values[(int) Math.min(values.length - 1L, (long) (quantile * values.length))];
  }

  private void refresh(long nowNanos) {
    long last = refreshedNanos.get();
    boolean due = last == Long.MIN_VALUE || nowNanos - last >= REFRESH_NANOS;
    if (!due || !refreshedNanos.compareAndSet(last, nowNanos)) {
      return;
    }
    int size = (int) Math.min(CAPACITY, count.get());
    long[] values = new long[size];
    for (int i = 0; i < size; i++) {
      values[i] = samples.get(i);
    }
    Arrays.sort(values);
    sorted = values;
  }
}
