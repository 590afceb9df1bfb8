package org.magnoliaswitch.core.process;

import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.concurrent.locks.LockSupport;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.version.AdmissionPolicy;
import org.magnoliaswitch.core.version.RequestKind;

/**
 * Bounds the concurrent requests of this instance to the backend servers of one service.
 *
 * <p>The bound, called the window, follows the load that the servers report, with additive increase
 * and multiplicative decrease, so that the instances share the servers' slots without communication
 * (Chiu and Jain, 1989). Requests beyond it wait, each kind in a queue of its own; freed capacity
 * goes to the kinds in proportion to their harm weights (stride scheduling, Waldspurger 1995), so
 * that none starves. A request whose expected wait exceeds the time left until its deadline, or the
 * maximum wait, is rejected at once instead of being queued.
 */
public final class ServiceAdmission {
  /** Maximum wait; keeps the queue short enough to drain within a second after an overload. */
  private static final long MAX_WAIT_NANOS = 400_000_000L;

  private static final double INCREASE = 0.6;
  private static final double DECREASE = 0.03;

  /** Share of the window up to which optional attempts, such as hedges, are admitted. */
  private static final double SPARE_WINDOW_SHARE = 0.75;

  private static final double MIN_WINDOW = 1.0;
  private static final double GRANT_INTERVAL_WEIGHT = 0.05;
  private static final long PARK_MARGIN_NANOS = 1_000_000L;

  /** Result of a request for capacity. */
  public enum Verdict {
    ADMITTED,
    /** The wait would have exceeded the deadline or the maximum wait, or did. */
    TOO_LATE,
    /** The queue was full. */
    FULL
  }

  private enum WaiterState {
    WAITING,
    ADMITTED,
    GIVEN_UP
  }

  private static final class Waiter {
    private final Thread thread = Thread.currentThread();
    private final AtomicReference<WaiterState> state = new AtomicReference<>(WaiterState.WAITING);
  }

  /** Queue of one kind; freed capacity goes to the queue with the lowest {@code pass}. */
  private static final class KindQueue {
    private final double weight;
    private final ConcurrentLinkedQueue<Waiter> waiters = new ConcurrentLinkedQueue<>();
    private final AtomicInteger length = new AtomicInteger();
    private final AtomicReference<Double> pass = new AtomicReference<>(0.0);

    private KindQueue(double weight) {
      this.weight = weight;
    }
  }

  private final Clocks clocks;
  private final AdmissionPolicy policy;
  private final List<RequestKind> kinds;
  private final AtomicReferenceArray<KindQueue> queues;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger waiting = new AtomicInteger();
  private final AtomicReference<Double> window;
  private final AtomicReference<Double> maxWindow;
  private final AtomicReference<Double> grantIntervalNanos = new AtomicReference<>(1e6);
  private final AtomicLong lastGrantNanos = new AtomicLong();

  public ServiceAdmission(
      AdmissionPolicy policy, List<RequestKind> kinds, double initialWindow, Clocks clocks) {
    this.policy = policy;
    this.kinds = List.copyOf(kinds);
    this.clocks = clocks;
    this.window = new AtomicReference<>(Math.max(MIN_WINDOW, initialWindow));
    this.maxWindow = new AtomicReference<>(Double.MAX_VALUE);
    this.queues = new AtomicReferenceArray<>(kinds.size());
    for (int i = 0; i < kinds.size(); i++) {
      queues.set(i, new KindQueue(policy.weighted() ? kinds.get(i).harmWeight() : 1));
    }
  }

  /**
   * Sets the largest useful window: all slots of this instance's share of the servers, each with
   * its target load.
   */
  public void limitWindow(double maximum) {
    maxWindow.set(Math.max(MIN_WINDOW, maximum));
  }

  /**
   * Waits for capacity.
   *
   * @param kind kind of the request
   * @param latestNanos monotonic time after which it is useless to send the request
   */
  public Verdict admit(RequestKind kind, long latestNanos) {
    if (waiting.get() == 0 && tryAcquire()) {
      return Verdict.ADMITTED;
    }
    if (policy.maxQueue() == 0 || waiting.get() >= policy.maxQueue()) {
      return Verdict.FULL;
    }
    KindQueue queue = queues.get(kinds.indexOf(kind));
    long now = clocks.nanos();
    long deadline = Math.min(latestNanos, now + MAX_WAIT_NANOS);
    if (now + expectedWaitNanos(queue) > deadline) {
      return Verdict.TOO_LATE;
    }
    return await(queue, deadline);
  }

  private Verdict await(KindQueue queue, long deadline) {
    Waiter waiter = new Waiter();
    if (queue.length.getAndIncrement() == 0) {
      advancePass(queue);
    }
    waiting.incrementAndGet();
    queue.waiters.add(waiter);
    // Capacity may have been freed between the first check and the enqueueing.
    grantFreeCapacity();
    while (waiter.state.get() == WaiterState.WAITING) {
      long remaining = deadline - clocks.nanos();
      if (remaining <= 0) {
        if (waiter.state.compareAndSet(WaiterState.WAITING, WaiterState.GIVEN_UP)) {
          removeFromCount(queue);
          queue.waiters.remove(waiter);
          return Verdict.TOO_LATE;
        }
        break;
      }
      LockSupport.parkNanos(this, remaining + PARK_MARGIN_NANOS);
    }
    return Verdict.ADMITTED;
  }

  /**
   * Acquires capacity for an optional further attempt, such as a hedge; never waits.
   *
   * <p>Hedges add load. Near saturation they would take the capacity that first attempts wait for,
   * and lengthen the very queues that they are meant to bypass.
   */
  public boolean tryAcquireSpare() {
    return waiting.get() == 0
        && inFlight.get() + 1 <= SPARE_WINDOW_SHARE * window.get()
        && tryAcquire();
  }

  /** Releases the capacity of an admitted request. */
  public void release() {
    inFlight.decrementAndGet();
    grantFreeCapacity();
  }

  /** Adapts the window to the load that a server reported. */
  public void recordReport(LoadReport report) {
    double load = (double) report.requests() / report.slots();
    double target = policy.loadPerSlot();
    if (load > target) {
      double excess = Math.min(1, (load - target) / target);
      window.updateAndGet(w -> Math.max(MIN_WINDOW, w * (1 - DECREASE * excess)));
    } else if (inFlight.get() + 1 >= window.get() * 0.5) {
      window.updateAndGet(w -> Math.min(maxWindow.get(), w + INCREASE / w));
    }
  }

  /** Adapts the window to a rejection by a server that is too busy. */
  public void recordRejection() {
    window.updateAndGet(w -> Math.max(MIN_WINDOW, w * (1 - DECREASE)));
  }

  /** Returns the number of requests admitted and not yet released. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns the number of waiting requests. */
  public int waiting() {
    return waiting.get();
  }

  /** Returns the current bound on admitted requests. */
  public double window() {
    return window.get();
  }

  /**
   * Returns the time after which a rejected caller should retry, in whole seconds, at least one.
   */
  public int retryAfterSeconds() {
    double seconds = waiting.get() * grantIntervalNanos.get() / 1e9;
    return (int) Math.max(1, Math.ceil(seconds));
  }

  private boolean tryAcquire() {
    int before = inFlight.get();
    while (before + 1 <= window.get()) {
      if (inFlight.compareAndSet(before, before + 1)) {
        return true;
      }
      before = inFlight.get();
    }
    return false;
  }

  private void grantFreeCapacity() {
    while (waiting.get() > 0 && tryAcquire()) {
      if (!grantOne()) {
        inFlight.decrementAndGet();
        return;
      }
    }
  }

  private boolean grantOne() {
    for (KindQueue queue = nextQueue(); queue != null; queue = nextQueue()) {
      Waiter waiter = queue.waiters.poll();
      if (waiter == null) {
        // A waiter is counted before it is enqueued; it then checks for capacity itself.
        return false;
      }
      if (waiter.state.compareAndSet(WaiterState.WAITING, WaiterState.ADMITTED)) {
        removeFromCount(queue);
        double stride = 1 / queue.weight;
        queue.pass.updateAndGet(pass -> pass + stride);
        recordGrant();
        LockSupport.unpark(waiter.thread);
        return true;
      }
    }
    return false;
  }

  private @org.jspecify.annotations.Nullable KindQueue nextQueue() {
    KindQueue next = null;
    for (int i = 0; i < queues.length(); i++) {
      KindQueue queue = queues.get(i);
      boolean candidate = !queue.waiters.isEmpty();
      if (candidate && (next == null || queue.pass.get() < next.pass.get())) {
        next = queue;
      }
    }
    return next;
  }

  private void removeFromCount(KindQueue queue) {
    queue.length.decrementAndGet();
    waiting.decrementAndGet();
  }

  /**
   * Advances the pass of a queue that was empty, so that the time it was empty gives it no extra
   * share.
   */
  private void advancePass(KindQueue queue) {
    double least = Double.MAX_VALUE;
    for (int i = 0; i < queues.length(); i++) {
      KindQueue other = queues.get(i);
      if (other != queue && other.length.get() > 0) {
        least = Math.min(least, other.pass.get());
      }
    }
    if (least < Double.MAX_VALUE) {
      double floor = least;
      queue.pass.updateAndGet(pass -> Math.max(pass, floor));
    }
  }

  private double expectedWaitNanos(KindQueue queue) {
    double weights = 0;
    for (int i = 0; i < queues.length(); i++) {
      if (queues.get(i).length.get() > 0 || queues.get(i) == queue) {
        weights += queues.get(i).weight;
      }
    }
    double byShare = (queue.length.get() + 1) * weights / queue.weight;
    double ahead = Math.min(byShare, waiting.get() + 1.0);
    return ahead * grantIntervalNanos.get();
  }

  private void recordGrant() {
    long now = clocks.nanos();
    long interval = now - lastGrantNanos.getAndSet(now);
    if (interval < MAX_WAIT_NANOS) {
      grantIntervalNanos.updateAndGet(mean -> mean + GRANT_INTERVAL_WEIGHT * (interval - mean));
    }
  }
}
