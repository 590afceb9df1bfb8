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
 * A backend server: slots, a short queue, a knee above which work slows down, and neighbours that
 * slow the whole machine for a few hundred milliseconds.
 *
 * <p>How long a request takes is settled when its work starts. In the logs of the users' servers
 * those that started beside a busy neighbour took four times as long to their end, also when it had
 * gone after a third of that, and those that started undisturbed took their usual time.
 */
final class ModelServer {
  /** One request at the server. */
  static final class Job {
    private final double workMillis;
    private final Consumer<LoadSample> done;

    /**
     * Creates a request.
     *
     * @param done takes what the answer says of the load, which still counts the request itself
     */
    Job(double workMillis, Consumer<LoadSample> done) {
      this.workMillis = workMillis;
      this.done = done;
    }
  }

  private final ServerEntry entry;
  private final Pattern pattern;
  private final ServerTraits traits;
  private final VirtualTime time;
  private final RandomGenerator random;
  private final List<Job> running = new ArrayList<>();
  private final Deque<Job> waiting = new ArrayDeque<>();
  private double slowness = 1;
  private boolean lost;
  private boolean ended;

  ModelServer(ServerEntry entry, Pattern pattern, VirtualTime time, RandomGenerator random) {
    this.entry = entry;
    this.pattern = pattern;
    this.traits = pattern.deployment().traits();
    this.time = time;
    this.random = random;
    time.afterMillis(
        random.nextDouble() * traits.noiseMillis(),
        () -> time.everyMillis(traits.noiseMillis(), this::shiftNoise));
  }

  private void shiftNoise() {
    slowness = random.nextDouble() < pattern.noiseShare() ? traits.noiseFactor() : 1;
  }

  ServerEntry entry() {
    return entry;
  }

  /** Whether one more request would take longer than usual. */
  boolean atKnee() {
    return running.size() + waiting.size() + 1 > traits.knee() * traits.slots();
  }

  /** Takes a request; false when slots and queue are full. */
  boolean take(Job job) {
    if (lost) {
      // Nobody answers; the job never ends.
      return true;
    }
    if (random.nextDouble() < pattern.rejectedAt(entry.service(), time.millis())) {
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
    double knee = running.size() > traits.knee() * traits.slots() ? traits.kneeFactor() : 1;
    time.afterMillis(job.workMillis * slowness * knee, () -> end(job));
  }

  private void end(Job job) {
    LoadSample told = sample();
    if (running.remove(job)) {
      next();
      job.done.accept(told);
    }
  }

  /** Stops work on a request whose connection was closed. */
  void cancel(Job job) {
    waiting.remove(job);
    if (running.remove(job)) {
      next();
    }
  }

  /** Falls silent for good. */
  void lose() {
    lost = true;
    running.clear();
    waiting.clear();
  }

  /** Ends: nobody answers, and nobody listens at its address. */
  void end() {
    lose();
    ended = true;
  }

  boolean lost() {
    return lost;
  }

  boolean ended() {
    return ended;
  }

  LoadSample sample() {
    return new LoadSample(running.size(), waiting.size(), traits.slots(), slowness);
  }

  private void next() {
    if (!waiting.isEmpty()) {
      start(waiting.removeFirst());
    }
  }
}
