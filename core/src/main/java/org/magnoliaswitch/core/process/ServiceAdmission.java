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
 * Bounds the requests of one service that this instance has at backend servers at once.
 *
 * <p>The bound follows the load that the servers report, additive up and multiplicative down, so
 * the instances share the servers' slots without talking to each other (Chiu and Jain, 1989).
 * Requests beyond it wait, each kind in a queue of its own; freed room goes to the kinds in
 * proportion to their harm weights (stride scheduling, Waldspurger 1995), so that none starves. A
 * request whose expected wait exceeds what its deadline leaves is refused at once instead of being
 * kept.
 */
public final class ServiceAdmission {
  /** Longest wait; keeps the queue short enough to empty within a second after overload. */
  private static final long MAX_WAIT_NANOS = 400_000_000L;

  private static final double INCREASE = 0.6;
  private static final double DECREASE = 0.03;

  /** Share of the window up to which attempts that need not be are made. */
  private static final double SPARE_WINDOW_SHARE = 0.75;

  private static final double MIN_WINDOW = 1.0;
  private static final double GRANT_INTERVAL_WEIGHT = 0.05;
  private static final long PARK_MARGIN_NANOS = 1_000_000L;

  /** What came of asking for room. */
  public enum Verdict {
    ADMITTED,
    /** The wait would have exceeded the deadline, or did. */
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

  /** Queue of one kind; {@code pass} orders the kinds for freed room. */
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

  /** Largest window that makes sense: all slots of all servers, each with its wanted load. */
  public void limitWindow(double most) {
    maxWindow.set(Math.max(MIN_WINDOW, most));
  }

  /**
   * Waits for room.
   *
   * @param kind the request's kind
   * @param latestNanos monotonic time after which sending is of no use
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
    long latest = Math.min(latestNanos, now + MAX_WAIT_NANOS);
    if (now + expectedWaitNanos(queue) > latest) {
      return Verdict.TOO_LATE;
    }
    return await(queue, latest);
  }

  private Verdict await(KindQueue queue, long latest) {
    Waiter waiter = new Waiter();
    if (queue.length.getAndIncrement() == 0) {
      advancePass(queue);
    }
    waiting.incrementAndGet();
    queue.waiters.add(waiter);
    // Room may have been freed between the first look and the enqueueing.
    grantFreeCapacity();
    while (waiter.state.get() == WaiterState.WAITING) {
      long left = latest - clocks.nanos();
      if (left <= 0) {
        if (waiter.state.compareAndSet(WaiterState.WAITING, WaiterState.GIVEN_UP)) {
          removeFromCount(queue);
          queue.waiters.remove(waiter);
          return Verdict.TOO_LATE;
        }
        break;
      }
      LockSupport.parkNanos(this, left + PARK_MARGIN_NANOS);
    }
    return Verdict.ADMITTED;
  }

  /**
   * Takes room for a further attempt that need not be, such as a hedge; never waits.
   *
   * <p>Hedges add load. Near saturation they would take the room that first attempts wait for, and
   * lengthen the very queues they are meant to pass by.
   */
  public boolean tryAcquireSpare() {
    return waiting.get() == 0
        && inFlight.get() + 1 <= SPARE_WINDOW_SHARE * window.get()
        && tryAcquire();
  }

  /** Gives back the room of an admitted request. */
  public void release() {
    inFlight.decrementAndGet();
    grantFreeCapacity();
  }

  /** Adapts the window to the load that a server reported. */
  public void recordReport(LoadReport report) {
    double load = (double) report.requests() / report.slots();
    double wanted = policy.loadPerSlot();
    if (load > wanted) {
      double excess = Math.min(1, (load - wanted) / wanted);
      window.updateAndGet(w -> Math.max(MIN_WINDOW, w * (1 - DECREASE * excess)));
    } else if (inFlight.get() + 1 >= window.get() * 0.5) {
      window.updateAndGet(w -> Math.min(maxWindow.get(), w + INCREASE / w));
    }
  }

  /** Adapts the window to a refusal by a server that is too busy. */
  public void recordRejection() {
    window.updateAndGet(w -> Math.max(MIN_WINDOW, w * (1 - DECREASE)));
  }

  /** Requests admitted and not yet released. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Requests waiting. */
  public int waiting() {
    return waiting.get();
  }

  /** The present bound on admitted requests. */
  public double window() {
    return window.get();
  }

  /** When a refused caller should come back, in whole seconds, at least one. */
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
        // Its length is counted before it is enqueued; it will look for room itself.
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
    KindQueue best = null;
    for (int i = 0; i < queues.length(); i++) {
      KindQueue queue = queues.get(i);
      boolean candidate = !queue.waiters.isEmpty();
      if (candidate && (best == null || queue.pass.get() < best.pass.get())) {
        best = queue;
      }
    }
    return best;
  }

  private void removeFromCount(KindQueue queue) {
    queue.length.decrementAndGet();
    waiting.decrementAndGet();
  }

  /** A queue that was empty has saved no claim on room for the time it was. */
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
