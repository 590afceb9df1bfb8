package org.magnoliaswitch.core.process;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.magnoliaswitch.core.version.BackendServer;

/**
 * What this instance knows of one backend server, updated without locks.
 *
 * <p>First-hand signs (own latency, own failures) are kept apart from the server's reports, since
 * reports lag or mislead and are overruled by what this instance's own requests met.
 */
public final class ServerLoad {
  /** Weight of one sample in the moving averages. */
  private static final double SAMPLE_WEIGHT = 0.15;

  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * The last report and what this instance had in flight when it arrived.
   *
   * @param report what the server said
   * @param atNanos when it arrived
   * @param ownInFlight requests of this instance in flight then
   */
  public record TimedReport(LoadReport report, long atNanos, int ownInFlight) {}

  /**
   * Averages of recent own exchanges.
   *
   * @param latencyMillis moving average of the latency of whole answers
   * @param failureShare moving average of failures, refusals included, 0 to 1
   * @param samples number of exchanges seen
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

  /** Counts the end of a request whose answer was whole. */
  public void recordSuccess(long latencyNanos, long nowNanos) {
    inFlight.decrementAndGet();
    lastContactNanos.set(nowNanos);
    averages.updateAndGet(before -> withSample(before, latencyNanos / NANOS_PER_MILLI));
  }

  /** Counts the end of a request that failed or was refused. */
  public void recordFailure() {
    inFlight.decrementAndGet();
    averages.updateAndGet(
        before ->
            new Averages(
                before.latencyMillis(),
                movingAverage(before.failureShare(), 1),
                before.samples() + 1));
  }

  /** Counts the end of a request that was given up without fault of the server. */
  public void recordAbandoned() {
    inFlight.decrementAndGet();
  }

  /** Notes that a request takes longer than the average, before it has ended. */
  public void recordSlow(long elapsedNanos) {
    double elapsedMillis = elapsedNanos / NANOS_PER_MILLI;
    averages.updateAndGet(
        before ->
            elapsedMillis > before.latencyMillis() ? withLatency(before, elapsedMillis) : before);
  }

  /** Takes a report that rode on a response or answered a probe. */
  public void recordReport(LoadReport report, long nowNanos) {
    lastReport.set(new TimedReport(report, nowNanos, inFlight.get()));
    lastContactNanos.set(nowNanos);
  }

  /** Reserves the right to send one probe when none was sent within the window. */
  public boolean tryClaimProbe(long nowNanos, long windowNanos) {
    long before = lastProbeNanos.get();
    boolean due = before == Long.MIN_VALUE || nowNanos - before >= windowNanos;
    return due && lastProbeNanos.compareAndSet(before, nowNanos);
  }

  /** Sets how long the server gets no ordinary requests. */
  public void eject(Ejection next) {
    ejection.set(next);
  }

  /** The ejection in force or last in force. */
  public Ejection ejection() {
    return ejection.get();
  }

  /** The server asks for a pause; the one that ends last counts. */
  public void extendPause(long forNanos, long nowNanos) {
    pause.updateAndGet(before -> before.extendedTo(nowNanos + forNanos));
  }

  /** The pause in force or last in force. */
  public Pause pause() {
    return pause.get();
  }

  /** Requests of this instance now at the server. */
  public int inFlight() {
    return inFlight.get();
  }

  /** The last report. */
  public TimedReport lastReport() {
    return lastReport.get();
  }

  /** Averages of recent own exchanges. */
  public Averages averages() {
    return averages.get();
  }

  /** Forgets failures, so that a restored server is judged by what it does next. */
  public void resetFailures() {
    averages.updateAndGet(before -> new Averages(before.latencyMillis(), 0, 0));
  }

  /** When the server was last heard of. */
  public long lastContactNanos() {
    return lastContactNanos.get();
  }

  /** When this instance first knew the server. */
  public long createdNanos() {
    return createdNanos;
  }

  /** Id of the server. */
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
