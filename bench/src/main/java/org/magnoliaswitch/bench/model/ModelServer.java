package org.magnoliaswitch.bench.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.front.load.LoadSample;
import org.magnoliaswitch.front.version.ServerEntry;

/**
 * A simulated backend server with slots, a short queue, a knee above which requests take longer,
 * and noisy neighbours that slow down the whole machine for a few hundred milliseconds.
 *
 * <p>The duration of a request is fixed when its execution starts, as on real servers: a request
 * that starts beside a busy neighbour takes four times as long, even when the neighbour becomes
 * idle after a third of that time, and a request that starts undisturbed takes its usual time.
 */
final class ModelServer {
  /** A request at the server. */
  static final class Job {
    private final double workMillis;
    private final Consumer<LoadSample> completion;

    /**
     * Creates a request.
     *
     * @param completion receives the load reported with the answer, which still includes the
     *     request itself
     */
    Job(double workMillis, Consumer<LoadSample> completion) {
      this.workMillis = workMillis;
      this.completion = completion;
    }
  }

  private final ServerEntry entry;
  private final LoadPattern pattern;
  private final ServerTraits traits;
  private final VirtualTime time;
  private final RandomGenerator random;
  private final List<Job> running = new ArrayList<>();
  private final Deque<Job> waiting = new ArrayDeque<>();
  private double slowness = 1;
  private boolean silent;
  private boolean crashed;

  ModelServer(ServerEntry entry, LoadPattern pattern, VirtualTime time, RandomGenerator random) {
    this.entry = entry;
    this.pattern = pattern;
    this.traits = pattern.deployment().traits();
    this.time = time;
    this.random = random;
    time.afterMillis(
        random.nextDouble() * traits.noiseMillis(),
        () -> time.everyMillis(traits.noiseMillis(), this::updateNoise));
  }

  private void updateNoise() {
    slowness = random.nextDouble() < pattern.noiseShare() ? traits.noiseFactor() : 1;
  }

  ServerEntry entry() {
    return entry;
  }

  /** Whether the server resets the connections of requests that it does not accept. */
  boolean resets() {
    return traits.resets();
  }

  /** Whether a further request would exceed the knee. */
  boolean atKnee() {
    return running.size() + waiting.size() + 1 > traits.knee() * traits.slots();
  }

  /**
   * Starts or queues a request; returns false if it is rejected, which includes that slots and
   * queue are full.
   */
  boolean offer(Job job) {
    if (silent) {
      // A silent server never completes a request.
      return true;
    }
    if (random.nextDouble() < pattern.rejectedShareAt(entry.service(), time.millis())) {
      return false;
    }
    if (running.size() < traits.slots()) {
      start(job);
      return true;
    }
    return waiting.size() < traits.queue() && waiting.add(job);
  }

  private void start(Job job) {
    running.add(job);
    double kneeFactor = running.size() > traits.knee() * traits.slots() ? traits.kneeFactor() : 1;
    time.afterMillis(job.workMillis * slowness * kneeFactor, () -> complete(job));
  }

  private void complete(Job job) {
    LoadSample sample = sample();
    if (running.remove(job)) {
      startNext();
      job.completion.accept(sample);
    }
  }

  /** Aborts a request whose connection was closed. */
  void cancel(Job job) {
    waiting.remove(job);
    if (running.remove(job)) {
      startNext();
    }
  }

  /** Makes the server stop responding permanently. */
  void stopResponding() {
    silent = true;
    running.clear();
    waiting.clear();
  }

  /** Makes the server crash: it stops responding and refuses connections. */
  void crash() {
    stopResponding();
    crashed = true;
  }

  boolean silent() {
    return silent;
  }

  boolean crashed() {
    return crashed;
  }

  LoadSample sample() {
    return new LoadSample(running.size(), waiting.size(), traits.slots(), slowness);
  }

  private void startNext() {
    if (!waiting.isEmpty()) {
      start(waiting.removeFirst());
    }
  }
}
