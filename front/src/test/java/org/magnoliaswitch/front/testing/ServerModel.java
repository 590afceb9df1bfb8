package org.magnoliaswitch.front.testing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.front.load.LoadSample;

/**
 * A backend server in virtual time: slots, a short queue, a knee above which work slows down, and
 * neighbours that slow the whole machine for a moment.
 */
public final class ServerModel {
  /** One request at the server. */
  public static final class Job {
    private final double arrivedMillis;
    private final int instance;
    private double workMillis;

    /** A request of an instance with its work on an undisturbed server. */
    public Job(int instance, double arrivedMillis, double workMillis) {
      this.instance = instance;
      this.arrivedMillis = arrivedMillis;
      this.workMillis = workMillis;
    }

    /** When it arrived. */
    public double arrivedMillis() {
      return arrivedMillis;
    }

    /** Which instance sent it. */
    public int instance() {
      return instance;
    }
  }

  private static final double KNEE = 0.8;
  private static final double KNEE_FACTOR = 1.7;
  private static final double NOISE_MILLIS = 300;

  private final int queueLimit;
  private final double noiseShare;
  private final double noiseFactor;
  private final List<Job> running = new ArrayList<>();
  private final Deque<Job> waiting = new ArrayDeque<>();
  private double slowness = 1;
  private double nextNoise;

  public ServerModel(int queueLimit, double noiseShare, double noiseFactor) {
    this.queueLimit = queueLimit;
    this.noiseShare = noiseShare;
    this.noiseFactor = noiseFactor;
  }

  /** Takes a request; false when slots and queue are full. */
  public boolean take(Job job) {
    if (running.size() < Servers.SLOTS) {
      running.add(job);
      return true;
    }
    return waiting.size() < queueLimit && waiting.add(job);
  }

  /** What the server says of its load. */
  public LoadSample sample() {
    return new LoadSample(running.size(), waiting.size(), Servers.SLOTS, slowness);
  }

  /** Lets time pass; requests that end are handed over. */
  public void advance(
      double nowMillis, double stepMillis, RandomGenerator random, Consumer<Job> ended) {
    if (nowMillis >= nextNoise) {
      slowness = random.nextDouble() < noiseShare ? noiseFactor : 1;
      nextNoise = nowMillis + NOISE_MILLIS;
    }
    double knee = running.size() > KNEE * Servers.SLOTS ? KNEE_FACTOR : 1;
    for (Job job : List.copyOf(running)) {
      job.workMillis -= stepMillis / (slowness * knee);
      if (job.workMillis <= 0) {
        running.remove(job);
        ended.accept(job);
        if (!waiting.isEmpty()) {
          running.add(waiting.removeFirst());
        }
      }
    }
  }
}
