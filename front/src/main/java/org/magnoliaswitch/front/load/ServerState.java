package org.magnoliaswitch.front.load;

import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.version.ServerEntry;

/**
 * The state of one incarnation of a backend server as observed by this instance. Not thread-safe.
 *
 * <p>First-hand observations (requests in flight, failures and latencies of this instance) are
 * exact; a load sample is stale when it arrives and loses its weight within a few hundred
 * milliseconds.
 */
public final class ServerState {
  /** Weight of a failure in the moving failure share: two in a row make a server suspect. */
  private static final double FAILURE_WEIGHT = 0.35;

  /** Weight of a success; lower, so that a server that fails every other request stays suspect. */
  private static final double SUCCESS_WEIGHT = 0.2;

  /**
   * Half-life of the failure share: long enough to avoid a server that fails intermittently
   * throughout a phase of failures.
   */
  private static final double FAILURE_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Weight of one latency in the moving latency ratio. */
  private static final double LATENCY_WEIGHT = 0.25;

  /** Half-life of the latency ratio without new answers, so that a slow server is tried again. */
  private static final double LATENCY_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(4);

  /**
   * Upper bound of one latency relative to the expected one, so that no single answer dominates.
   */
  private static final double MAX_LATENCY_RATIO = 20;

  private static final double MIN_LATENCY_RATIO = 0.3;

  /** Failure share from which a server counts as suspect: two failures in a row. */
  private static final double SUSPECT_SHARE = 0.5;

  /**
   * How long an unreachable server is replaced by others: a restarted process is back within
   * seconds.
   */
  private static final long UNREACHABLE_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Wait time of a server that will not become available. */
  public static final long NEVER = Long.MAX_VALUE;

  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private ServerEntry entry;
  private long coldUntilNanos;
  private int inFlight;
  private int idleConnections;
  private LoadSample sample;
  private long sampleNanos;
  private int inFlightAtSample;
  private boolean hasSample;
  private double failureShare;
  private long failureNanos;
  private double latencyRatio = 1;
  private long latencyNanos;
  private boolean unreachable;
  private long unreachableNanos;
  private boolean removed;
  private boolean evacuated;
  private boolean heldBack;
  private boolean warmupConfirmed = true;
  private final SendWindow recentWrites = new SendWindow(RateLimitShare.WINDOW_NANOS);
  private final Backpressure backpressure;

  public ServerState(ServerEntry entry, long nowNanos) {
    this(entry, new Backpressure(), nowNanos);
  }

  /**
   * Creates the state of a server whose backpressure was received before discovery listed it
   * (again).
   */
  public ServerState(ServerEntry entry, Backpressure backpressure, long nowNanos) {
    this.entry = entry;
    this.backpressure = backpressure;
    this.sample = new LoadSample(0, 0, Math.max(1, entry.slots()), 1);
    this.sampleNanos = nowNanos;
    this.failureNanos = nowNanos;
    this.latencyNanos = nowNanos;
    this.coldUntilNanos = nowNanos + entry.warmupNanos();
  }

  /** Updates the discovery entry of the same incarnation. */
  public void update(ServerEntry newEntry, long nowNanos) {
    // An entry is seconds old and read repeatedly: it may extend a warm-up once, but never end it.
    if (newEntry.warmupNanos() != entry.warmupNanos()) {
      extendWarmup(newEntry.warmupNanos(), nowNanos);
    }
    this.entry = newEntry;
  }

  /** Records the remaining warm-up time that the server itself reported. */
  public void recordWarmup(long leftNanos, long nowNanos) {
    coldUntilNanos = nowNanos + leftNanos;
    warmupConfirmed = true;
  }

  /** Assumes that the server has become cold, until it reports otherwise or the time has passed. */
  public void assumeCold(long durationNanos, long nowNanos) {
    extendWarmup(durationNanos, nowNanos);
    warmupConfirmed = false;
  }

  /** Whether the server counts as cold without having confirmed it. */
  public boolean warmupUnconfirmed(long nowNanos) {
    return !warmupConfirmed && cold(nowNanos);
  }

  private void extendWarmup(long durationNanos, long nowNanos) {
    if (nowNanos + durationNanos - coldUntilNanos > 0) {
      coldUntilNanos = nowNanos + durationNanos;
    }
  }

  /**
   * Records a request that is about to be written. Warm servers are included, because they may turn
   * out to have become cold.
   */
  public void recordWrite(long nowNanos) {
    recentWrites.add(nowNanos);
  }

  /**
   * Whether the server is warm or has received fewer requests in the last second than a share
   * allows.
   */
  public boolean withinColdShare(ColdShare share, long nowNanos) {
    return !cold(nowNanos) || recentWrites.count(SECOND_NANOS, nowNanos) < share.maxPerSecond();
  }

  /** Time until a share of the server's rate limit allows the next request; 0 if it does now. */
  public long nanosUntilAllowed(RateLimitShare share, long nowNanos) {
    return share.maxPerWindow() == 0
        ? NEVER
        : recentWrites.nanosUntilFewerThan(
            share.maxPerWindow(), RateLimitShare.WINDOW_NANOS, nowNanos);
  }

  /** The backpressure that the server has signalled. */
  public Backpressure backpressure() {
    return backpressure;
  }

  /** Sets whether the server's data centre is evacuated. */
  public void evacuated(boolean now) {
    evacuated = now;
  }

  /** Whether the server's data centre is evacuated, in which case it must not receive requests. */
  public boolean evacuated() {
    return evacuated;
  }

  /** Sets whether the server is listed only because its departure has been undone by a restore. */
  public void heldBack(boolean now) {
    heldBack = now;
  }

  /** The latest discovery entry. */
  public ServerEntry entry() {
    return entry;
  }

  /**
   * Marks the server as no longer listed or no longer at its address, so that it gets no requests.
   */
  public void markRemoved() {
    removed = true;
  }

  /** Records that no connection to the server could be opened. */
  public void markUnreachable(long nowNanos) {
    unreachable = true;
    unreachableNanos = nowNanos;
  }

  /**
   * Whether a connection attempt has failed recently and the server has not reported its load
   * since.
   */
  public boolean recentlyUnreachable(long nowNanos) {
    return unreachable && nowNanos - unreachableNanos < UNREACHABLE_MEMORY_NANOS;
  }

  /** Whether the server may receive new requests. */
  public boolean acceptsWork() {
    return !removed && !evacuated && !heldBack && !entry.draining() && !backpressure.leaving();
  }

  /** Counts a request of this instance that is about to be sent. */
  public void requestStarted() {
    inFlight++;
  }

  /** Counts the end of a request of this instance, whatever its outcome. */
  public void requestEnded() {
    inFlight--;
  }

  /**
   * Records a load sample that arrived with an answer or with the response to a probe.
   *
   * @param ownInSample requests of this instance that were in flight at the server when the sample
   *     arrived; they count as included in it
   */
  public void recordSample(LoadSample newSample, int ownInSample, long nowNanos) {
    sample = newSample;
    sampleNanos = nowNanos;
    inFlightAtSample = ownInSample;
    hasSample = true;
    unreachable = false;
  }

  /** Records a complete answer and the ratio of its latency to the expected latency. */
  public void recordSuccess(double ratioToExpected, long nowNanos) {
    failureShare = failureShare(nowNanos) * (1 - SUCCESS_WEIGHT);
    failureNanos = nowNanos;
    double bounded = Math.clamp(ratioToExpected, MIN_LATENCY_RATIO, MAX_LATENCY_RATIO);
    double before = latencyRatio(nowNanos);
    latencyRatio = before + LATENCY_WEIGHT * (bounded - before);
    latencyNanos = nowNanos;
  }

  /** Records that an answer is already overdue, so that further requests do not queue behind it. */
  public void recordOverdue(double ratioToExpected, long nowNanos) {
    double before = latencyRatio(nowNanos);
    if (ratioToExpected > before) {
      latencyRatio = before + LATENCY_WEIGHT * (ratioToExpected - before);
      latencyNanos = nowNanos;
    }
  }

  /** Records a failure that the server is responsible for. */
  public void recordFailure(long nowNanos) {
    double before = failureShare(nowNanos);
    failureShare = before + FAILURE_WEIGHT * (1 - before);
    failureNanos = nowNanos;
  }

  /**
   * Forgets failures and late answers that were due to this instance's path to the server, so that
   * they do not outlive the loss of the path.
   */
  public void forgetFailures(long nowNanos) {
    failureShare = 0;
    failureNanos = nowNanos;
    latencyRatio = 1;
    latencyNanos = nowNanos;
    unreachable = false;
  }

  /** Sets the number of idle connections to the server. */
  public void idleConnections(int count) {
    idleConnections = count;
  }

  /** Number of idle connections to the server. */
  public int idleConnections() {
    return idleConnections;
  }

  /** Requests of this instance that are in flight at the server. */
  public int inFlight() {
    return inFlight;
  }

  /** The last load sample, or that of an idle server if there is none. */
  public LoadSample sample() {
    return sample;
  }

  /** Whether the server has ever reported its load. */
  public boolean hasSample() {
    return hasSample;
  }

  /** Age of the last load sample in nanoseconds. */
  public long sampleAgeNanos(long nowNanos) {
    return nowNanos - sampleNanos;
  }

  /**
   * Requests of this instance started at the server since its last load sample, minus those ended.
   */
  public int startedSinceSample() {
    return inFlight - inFlightAtSample;
  }

  /** Share of this instance's recent requests that failed, from 0 to 1, decaying with time. */
  public double failureShare(long nowNanos) {
    return failureShare * Math.pow(0.5, (nowNanos - failureNanos) / FAILURE_HALF_LIFE_NANOS);
  }

  /** Whether the share of recent failures is so high that other servers are preferred. */
  public boolean suspect(long nowNanos) {
    return failureShare(nowNanos) >= SUSPECT_SHARE;
  }

  /** Ratio of this instance's latencies to those expected of the service, decaying towards 1. */
  public double latencyRatio(long nowNanos) {
    double decay = Math.pow(0.5, (nowNanos - latencyNanos) / LATENCY_HALF_LIFE_NANOS);
    return 1 + (latencyRatio - 1) * decay;
  }

  /** Whether the server's caches are cold: it is slow and can sustain few requests. */
  public boolean cold(long nowNanos) {
    return coldUntilNanos - nowNanos > 0;
  }
}
