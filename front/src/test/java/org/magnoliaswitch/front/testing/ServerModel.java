package org.magnoliaswitch.front.testing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.front.load.LoadSample;

/**
 * A backend server in virtual time with slots, a short queue, a knee above which requests run more
 * slowly, and noisy neighbours that temporarily slow down the whole machine.
 */
public final class ServerModel {
  /** A request at the server. */
  public static final class Job {
    private final double arrivedMillis;
    private final int instance;
    private double workMillis;

    /** Creates a request of an instance; the work is its duration on an undisturbed server. */
    public Job(int instance, double arrivedMillis, double workMillis) {
      this.instance = instance;
      this.arrivedMillis = arrivedMillis;
      this.workMillis = workMillis;
    }

    /** Time at which the request arrived. */
    public double arrivedMillis() {
      return arrivedMillis;
    }

    /** Instance that sent the request. */
    public int instance() {
      return instance;
    }
  }

  private static final double KNEE_UTILIZATION = 0.8;
  private static final double KNEE_SLOWDOWN = 1.7;
  private static final double NOISE_PERIOD_MILLIS = 300;

  private final int queueLimit;
  private final double noiseShare;
  private final double noiseSlowdown;
  private final List<Job> running = new ArrayList<>();
  private final Deque<Job> waiting = new ArrayDeque<>();
  private double slowness = 1;
  private double nextNoiseMillis;

  public ServerModel(int queueLimit, double noiseShare, double noiseSlowdown) {
    this.queueLimit = queueLimit;
    this.noiseShare = noiseShare;
    this.noiseSlowdown = noiseSlowdown;
  }

  /** Accepts a request; false if all slots and the queue are full. */
  public boolean accept(Job job) {
    if (running.size() < Servers.SLOTS) {
      running.add(job);
      return true;
    }
    return waiting.size() < queueLimit && waiting.add(job);
  }

  /** The load that the server reports. */
  public LoadSample sample() {
    return new LoadSample(running.size(), waiting.size(), Servers.SLOTS, slowness);
  }

  /** Advances the time by a step and passes completed requests to the consumer. */
  public void advance(
      double nowMillis, double stepMillis, RandomGenerator random, Consumer<Job> completed) {
    if (nowMillis >= nextNoiseMillis) {
      slowness = random.nextDouble() < noiseShare ? noiseSlowdown : 1;
      nextNoiseMillis = nowMillis + NOISE_PERIOD_MILLIS;
    }
    double knee = running.size() > KNEE_UTILIZATION * Servers.SLOTS ? KNEE_SLOWDOWN : 1;
    for (Job job : List.copyOf(running)) {
      job.workMillis -= stepMillis / (slowness * knee);
      if (job.workMillis <= 0) {
        running.remove(job);
        completed.accept(job);
        if (!waiting.isEmpty()) {
          running.add(waiting.removeFirst());
        }
      }
    }
  }
}
