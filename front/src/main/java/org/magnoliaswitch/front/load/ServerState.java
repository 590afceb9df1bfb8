package org.magnoliaswitch.front.load;

import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.version.ServerEntry;

/**
 * What this instance knows of one incarnation of a backend server; used by one thread only.
 *
 * <p>First-hand news (own requests in flight, own failures, own latencies) are exact; a load sample
 * is stale as soon as it arrives and fades within a few hundred milliseconds.
 */
public final class ServerState {
  /** A failure moves the failure share this far towards 1: two in a row make a server suspect. */
  private static final double FAILURE_WEIGHT = 0.35;

  /** A success moves it less, so a server that fails every other request stays suspect. */
  private static final double SUCCESS_WEIGHT = 0.2;

  /**
   * After this time a failure counts half: long enough to pass by a flapping server's bad phase.
   */
  private static final double FAILURE_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Weight of one latency in the server's speed. */
  private static final double SPEED_WEIGHT = 0.25;

  /** After this time without samples the server's speed counts half, so that it is tried again. */
  private static final double SPEED_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Bounds on one latency relative to the expected one, so that no single answer decides. */
  private static final double MAX_SPEED_RATIO = 20;

  private static final double MIN_SPEED_RATIO = 0.3;

  /** Share of recent failures from which a server counts as suspect: two in a row. */
  private static final double SUSPECT_SHARE = 0.5;

  /**
   * How long others take the place of a server that could not be reached: a process that starts
   * again is back within seconds.
   */
  private static final long UNREACHABLE_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** A time that never comes. */
  public static final long NEVER = Long.MAX_VALUE;

  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private ServerEntry entry;
  private long coldUntilNanos;
  private int inFlight;
  private int idleConnections;
  private LoadSample sample;
  private long sampleNanos;
  private int ownAtSample;
  private boolean hasSample;
  private double failureShare;
  private long failureNanos;
  private double latencyRatio = 1;
  private long latencyNanos;
  private boolean unreachable;
  private long unreachableNanos;
  private boolean removed;
  private boolean evacuated;
  private boolean warmupConfirmed = true;
  private final SendWindow recentWrites = new SendWindow(RateLimitShare.WINDOW_NANOS);
  private final Backpressure backpressure;

  public ServerState(ServerEntry entry, long nowNanos) {
    this(entry, new Backpressure(), nowNanos);
  }

  /** Creates the state of a server that has asked for something before it was listed (again). */
  public ServerState(ServerEntry entry, Backpressure backpressure, long nowNanos) {
    this.entry = entry;
    this.backpressure = backpressure;
    this.sample = new LoadSample(0, 0, Math.max(1, entry.slots()), 1);
    this.sampleNanos = nowNanos;
    this.failureNanos = nowNanos;
    this.latencyNanos = nowNanos;
    this.coldUntilNanos = nowNanos + entry.warmupNanos();
  }

  /** Takes a newer discovery entry of the same incarnation. */
  public void update(ServerEntry next, long nowNanos) {
    // An entry is seconds old and read many times: it may lengthen a warm-up once, never end one.
    if (next.warmupNanos() != entry.warmupNanos()) {
      lengthenWarmup(next.warmupNanos(), nowNanos);
    }
    this.entry = next;
  }

  /** Takes the server's own word on how long it stays cold. */
  public void recordWarmup(long leftNanos, long nowNanos) {
    coldUntilNanos = nowNanos + leftNanos;
    warmupConfirmed = true;
  }

  /** It may have become cold, and stays so for a time unless it says otherwise. */
  public void assumeCold(long spanNanos, long nowNanos) {
    lengthenWarmup(spanNanos, nowNanos);
    warmupConfirmed = false;
  }

  /** Whether it counts as cold and its own word on that is not known. */
  public boolean warmupUnconfirmed(long nowNanos) {
    return !warmupConfirmed && cold(nowNanos);
  }

  private void lengthenWarmup(long spanNanos, long nowNanos) {
    if (nowNanos + spanNanos - coldUntilNanos > 0) {
      coldUntilNanos = nowNanos + spanNanos;
    }
  }

  /** Counts a request that is about to be written; also while warm, for it may just have cooled. */
  public void recordWrite(long nowNanos) {
    recentWrites.add(nowNanos);
  }

  /** Whether it is warm, or got less in the last second than a share allows. */
  public boolean withinColdShare(ColdShare share, long nowNanos) {
    return !cold(nowNanos) || recentWrites.size(SECOND_NANOS, nowNanos) < share.maxPerSecond();
  }

  /** Time until it may get a request as far as a share of its rate limit decides it; 0 for now. */
  public long nanosUntilAllowed(RateLimitShare share, long nowNanos) {
    return share.maxPerWindow() == 0
        ? NEVER
        : recentWrites.untilFewerThan(share.maxPerWindow(), RateLimitShare.WINDOW_NANOS, nowNanos);
  }

  /** What it asks of its callers. */
  public Backpressure backpressure() {
    return backpressure;
  }

  /** Sets whether its data centre is evacuated. */
  public void evacuated(boolean now) {
    evacuated = now;
  }

  /** Whether its data centre is evacuated, so that nothing may be sent there. */
  public boolean evacuated() {
    return evacuated;
  }

  /** The latest discovery entry. */
  public ServerEntry entry() {
    return entry;
  }

  /** Notes that it is no longer listed or at its address, so that it gets nothing more. */
  public void markRemoved() {
    removed = true;
  }

  /** Notes that no connection to it could be opened. */
  public void markUnreachable(long nowNanos) {
    unreachable = true;
    unreachableNanos = nowNanos;
  }

  /** Whether no connection to it could be opened lately, and it has not told its load since. */
  public boolean recentlyUnreachable(long nowNanos) {
    return unreachable && nowNanos - unreachableNanos < UNREACHABLE_NANOS;
  }

  /** Whether new requests may go there. */
  public boolean acceptsWork() {
    return !removed && !evacuated && !entry.draining() && !backpressure.leaving();
  }

  /** Counts a request that is about to be sent. */
  public void requestStarted() {
    inFlight++;
  }

  /** Counts the end of a request, however it ended. */
  public void requestEnded() {
    inFlight--;
  }

  /** Takes a load sample that came with an answer. */
  public void recordSample(LoadSample next, int ownAmongHeld, long nowNanos) {
    sample = next;
    sampleNanos = nowNanos;
    ownAtSample = ownAmongHeld;
    hasSample = true;
    unreachable = false;
  }

  /** Notes a whole answer and how its latency compares with what was expected. */
  public void recordSuccess(double ratioToExpected, long nowNanos) {
    failureShare = failureShare(nowNanos) * (1 - SUCCESS_WEIGHT);
    failureNanos = nowNanos;
    double bounded = Math.clamp(ratioToExpected, MIN_SPEED_RATIO, MAX_SPEED_RATIO);
    double before = latencyRatio(nowNanos);
    latencyRatio = before + SPEED_WEIGHT * (bounded - before);
    latencyNanos = nowNanos;
  }

  /** Notes that an answer is late already, so that others are not sent to wait behind it. */
  public void recordOverdue(double ratioToExpected, long nowNanos) {
    double before = latencyRatio(nowNanos);
    if (ratioToExpected > before) {
      latencyRatio = before + SPEED_WEIGHT * (ratioToExpected - before);
      latencyNanos = nowNanos;
    }
  }

  /** Notes a failure that says something about the server. */
  public void recordFailure(long nowNanos) {
    double before = failureShare(nowNanos);
    failureShare = before + FAILURE_WEIGHT * (1 - before);
    failureNanos = nowNanos;
  }

  /** Sets how many kept connections to the server are idle. */
  public void idleConnections(int count) {
    idleConnections = count;
  }

  /** Kept connections to the server that are idle. */
  public int idleConnections() {
    return idleConnections;
  }

  /** Requests of this instance now at the server. */
  public int inFlight() {
    return inFlight;
  }

  /** The last load sample, or an idle one while there is none. */
  public LoadSample sample() {
    return sample;
  }

  /** Whether the server has ever told its load. */
  public boolean hasSample() {
    return hasSample;
  }

  /** Age of the last load sample in nanoseconds. */
  public long sampleAgeNanos(long nowNanos) {
    return nowNanos - sampleNanos;
  }

  /** Requests of this instance that the server got since its last load sample, less those ended. */
  public int ownSinceSample() {
    return inFlight - ownAtSample;
  }

  /** Share of recent own requests that failed, 0 to 1, faded by age. */
  public double failureShare(long nowNanos) {
    return failureShare * Math.pow(0.5, (nowNanos - failureNanos) / FAILURE_HALF_LIFE_NANOS);
  }

  /** Whether so many recent own requests failed that others are preferred. */
  public boolean suspect(long nowNanos) {
    return failureShare(nowNanos) >= SUSPECT_SHARE;
  }

  /** Own latencies relative to those expected of the service, faded by age towards 1. */
  public double latencyRatio(long nowNanos) {
    double fade = Math.pow(0.5, (nowNanos - latencyNanos) / SPEED_HALF_LIFE_NANOS);
    return 1 + (latencyRatio - 1) * fade;
  }

  /** Whether its caches are cold: it is slow and bears few requests. */
  public boolean cold(long nowNanos) {
    return coldUntilNanos - nowNanos > 0;
  }
}
