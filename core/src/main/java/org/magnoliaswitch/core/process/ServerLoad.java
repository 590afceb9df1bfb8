package org.magnoliaswitch.core.process;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.magnoliaswitch.core.version.BackendServer;

/**
 * The load of one backend server as observed by this instance, updated without locks.
 *
 * <p>First-hand observations (latencies and failures of own requests) are kept apart from the
 * server's reports, since reports may lag or mislead and are overridden by the results of own
 * requests.
 */
public final class ServerLoad {
  /** Weight of one sample in the moving averages. */
  private static final double SAMPLE_WEIGHT = 0.15;

  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * The last report and the number of own requests in flight when it arrived.
   *
   * @param report report of the server
   * @param atNanos when it arrived
   * @param ownInFlight requests of this instance in flight at that time
   */
  public record TimedReport(LoadReport report, long atNanos, int ownInFlight) {}

  /**
   * Averages of recent own exchanges.
   *
   * @param latencyMillis moving average of the latency, including the elapsed time of slow
   *     incomplete attempts
   * @param failureShare moving average of failures, including rejections, from 0 to 1
   * @param samples number of completed or failed attempts since the last ejection
   */
  public record Averages(double latencyMillis, double failureShare, long samples) {}

  private final String serverId;
  private final long createdNanos;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicReference<TimedReport> lastReport;
  private final AtomicReference<Averages> averages = new AtomicReference<>(new Averages(0, 0, 0));
  private final AtomicLong lastContactNanos;
  private final AtomicLong lastProbeNanos = new AtomicLong(Long.MIN_VALUE);
  private final AtomicReference<Ejection> ejection = new AtomicReference<>(Ejection.NONE);
  private final AtomicReference<Pause> pause = new AtomicReference<>(Pause.NONE);

  private volatile boolean identifiesProbes;

  public ServerLoad(BackendServer server, long nowNanos) {
    this.serverId = server.id();
    this.createdNanos = nowNanos;
    this.lastReport =
        new AtomicReference<>(
            new TimedReport(new LoadReport(0, server.slots(), false), nowNanos, 0));
    this.lastContactNanos = new AtomicLong(nowNanos);
  }

  /** Counts a request that is about to be sent. */
  public void requestStarted() {
    inFlight.incrementAndGet();
  }

  /** Records the end of a request with a complete answer. */
  public void recordSuccess(long latencyNanos, long nowNanos) {
    inFlight.decrementAndGet();
    lastContactNanos.set(nowNanos);
    averages.updateAndGet(before -> withSample(before, latencyNanos / NANOS_PER_MILLI));
  }

  /** Records the end of a request that failed or was rejected. */
  public void recordFailure() {
    inFlight.decrementAndGet();
    averages.updateAndGet(
        before ->
            new Averages(
                before.latencyMillis(),
                movingAverage(before.failureShare(), 1),
                before.samples() + 1));
  }

  /** Ends a request without counting success or failure. */
  public void recordAbandoned() {
    inFlight.decrementAndGet();
  }

  /** Records the elapsed time of an incomplete request if it is above the average latency. */
  public void recordSlow(long elapsedNanos) {
    double elapsedMillis = elapsedNanos / NANOS_PER_MILLI;
    averages.updateAndGet(
        before ->
            elapsedMillis > before.latencyMillis() ? withLatency(before, elapsedMillis) : before);
  }

  /** Records a report from a response or from a probe. */
  public void recordReport(LoadReport report, long nowNanos) {
    lastReport.set(new TimedReport(report, nowNanos, inFlight.get()));
    lastContactNanos.set(nowNanos);
  }

  /**
   * Reserves a probe if none was sent within the given interval; returns whether it may be sent.
   */
  public boolean tryClaimProbe(long nowNanos, long minIntervalNanos) {
    long before = lastProbeNanos.get();
    boolean due = before == Long.MIN_VALUE || nowNanos - before >= minIntervalNanos;
    return due && lastProbeNanos.compareAndSet(before, nowNanos);
  }

  /** Sets the period in which the server gets no ordinary requests. */
  public void eject(Ejection next) {
    ejection.set(next);
  }

  /** Returns the ejection in force or last in force. */
  public Ejection ejection() {
    return ejection.get();
  }

  /** Records that the server requests a pause; the pause that ends last applies. */
  public void extendPause(long forNanos, long nowNanos) {
    pause.updateAndGet(before -> before.extendedTo(nowNanos + forNanos));
  }

  /** Returns the pause in force or last in force. */
  public Pause pause() {
    return pause.get();
  }

  /** Records whether the response to a probe has echoed its id. */
  public void recordIdentifiesProbes(boolean identified) {
    identifiesProbes = identified;
  }

  /** Returns whether the response to the last probe has echoed its id. */
  public boolean identifiesProbes() {
    return identifiesProbes;
  }

  /** Returns the number of requests of this instance that are at the server. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns the last report. */
  public TimedReport lastReport() {
    return lastReport.get();
  }

  /** Returns the averages of recent own exchanges. */
  public Averages averages() {
    return averages.get();
  }

  /** Discards the failures, so that a restored server is judged by its next exchanges. */
  public void resetFailures() {
    averages.updateAndGet(before -> new Averages(before.latencyMillis(), 0, 0));
  }

  /** Returns when the server last reported its load or answered a request. */
  public long lastContactNanos() {
    return lastContactNanos.get();
  }

  /** Returns when the server became known to this instance. */
  public long createdNanos() {
    return createdNanos;
  }

  /** Returns the id of the server. */
  public String serverId() {
    return serverId;
  }

  private static Averages withSample(Averages before, double millis) {
    double latency = before.samples() == 0 ? millis : movingAverage(before.latencyMillis(), millis);
    return new Averages(latency, movingAverage(before.failureShare(), 0), before.samples() + 1);
  }

  private static Averages withLatency(Averages before, double millis) {
    return new Averages(
        movingAverage(before.latencyMillis(), millis), before.failureShare(), before.samples());
  }

  private static double movingAverage(double average, double sample) {
    return average + SAMPLE_WEIGHT * (sample - average);
  }
}
