package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.load.Placement.Ranked;
import org.magnoliaswitch.front.testing.ServerModel;
import org.magnoliaswitch.front.testing.Servers;
import org.testng.annotations.Test;

/**
 * Replays load on the placement decisions alone, in virtual time with fixed seeds: eighteen
 * instances that do not see each other's requests, and nineteen servers with noisy neighbours.
 */
public final class LoadReplayTest {
  private static final int INSTANCES = 18;
  private static final int SERVERS = 19;
  private static final double WORK_MILLIS = 120;
  private static final double OBJECTIVE_MILLIS = 300;
  private static final double STEP_MILLIS = 2;
  private static final double LENGTH_MILLIS = 20_000;
  private static final int PROBED_SERVERS = 3;

  /** The part of the decision that is in force. */
  private enum Decision {
    /** Round robin. */
    TURN,
    /** The best server by its last sample, without probes or refusals. */
    KNOWN,
    /** The best three servers are probed first. */
    ASKED,
    /** The best three servers are probed first, and only servers with capacity are used. */
    ROOM
  }

  /**
   * Counts of a replay.
   *
   * @param offered requests sent by callers
   * @param inTime requests answered within the objective
   * @param answered requests answered at all
   */
  private record Result(int offered, int inTime, int answered) {
    double inTimeShare() {
      return inTime / (double) offered;
    }
  }

  /** A single replay. */
  private static final class Replay {
    private final Random random = new Random(11);
    private final Decision decision;
    private final List<ServerModel> models = new ArrayList<>();
    private final List<List<ServerState>> states = new ArrayList<>();
    private final List<ServiceLoad> loads = new ArrayList<>();
    private int turn;
    private int offered;
    private int inTime;
    private int answered;

    Replay(Decision decision) {
      this.decision = decision;
      for (int i = 0; i < SERVERS; i++) {
        models.add(new ServerModel(12, 0.35, 4));
      }
      for (int instance = 0; instance < INSTANCES; instance++) {
        List<ServerState> own = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
          own.add(Servers.reporting("s" + i, 0, 1, 0));
        }
        states.add(own);
        loads.add(new ServiceLoad());
      }
    }

    Result run(double requestsPerSecond) {
      for (double now = 0; now < LENGTH_MILLIS; now += STEP_MILLIS) {
        for (int i = 0; i < SERVERS; i++) {
          advance(i, now);
        }
        double expected = requestsPerSecond * STEP_MILLIS / 1_000;
        if (random.nextDouble() < expected) {
          offer(now);
        }
      }
      return new Result(offered, inTime, answered);
    }

    private void advance(int server, double now) {
      ServerModel model = models.get(server);
      model.advance(
          now,
          STEP_MILLIS,
          random,
          job -> {
            answered++;
            inTime += now - job.arrivedMillis() <= OBJECTIVE_MILLIS ? 1 : 0;
            ServerState state = states.get(job.instance()).get(server);
            sample(job.instance(), server, nanos(now));
            state.requestEnded();
          });
    }

    private void sample(int instance, int server, long now) {
      ServerState state = states.get(instance).get(server);
      LoadSample sample = models.get(server).sample();
      state.recordSample(sample, state.inFlight(), now);
      loads.get(instance).recordSample(sample);
    }

    private void offer(double now) {
      offered++;
      int instance = random.nextInt(INSTANCES);
      double work = WORK_MILLIS * (1 + 0.3 * random.nextGaussian());
      Optional<ServerState> chosen = choose(instance, nanos(now));
      if (chosen.isPresent()) {
        int server = states.get(instance).indexOf(chosen.get());
        if (models.get(server).accept(new ServerModel.Job(instance, now, Math.max(20, work)))) {
          chosen.get().requestStarted();
        }
      }
    }

    private Optional<ServerState> choose(int instance, long now) {
      List<ServerState> own = states.get(instance);
      if (decision == Decision.TURN) {
        turn++;
        return Optional.of(own.get(turn % SERVERS));
      }
      List<Ranked> ranked = rank(instance, now);
      if (decision != Decision.KNOWN) {
        ranked.stream()
            .limit(PROBED_SERVERS)
            .forEach(probed -> sample(instance, own.indexOf(probed.server()), now));
        ranked = rank(instance, now);
      }
      if (decision != Decision.ROOM) {
        return Optional.of(ranked.getFirst().server());
      }
      PlacementContext context = context(instance, now);
      return ranked.stream()
          .map(Ranked::server)
          .filter(server -> AdmissionLimit.hasCapacity(server, context))
          .findFirst();
    }

    private List<Ranked> rank(int instance, long now) {
      return Placement.rank(states.get(instance), context(instance, now), random);
    }

    private PlacementContext context(int instance, long now) {
      return Servers.context(
          WORK_MILLIS * 1e6, nanos(OBJECTIVE_MILLIS), Timeliness.IN_TIME, loads.get(instance), now);
    }

    private static long nanos(double millis) {
      return TimeUnit.MICROSECONDS.toNanos((long) (millis * 1_000));
    }
  }

  private static Result replay(Decision decision, double requestsPerSecond) {
    Result result = new Replay(decision).run(requestsPerSecond);
    System.out.printf(
        "load-replay: per_second=%.0f decision=%s offered=%d in_time=%.3f answered=%.3f%n",
        requestsPerSecond,
        decision,
        result.offered(),
        result.inTimeShare(),
        result.answered() / (double) result.offered());
    return result;
  }

  /**
   * Normal load with noisy neighbours. Samples are too old to show which servers are slow now;
   * probing the best three servers before sending must give more timely answers than using the last
   * samples or round robin.
   */
  @Test
  public void probingFirstGivesMoreTimelyAnswersWithNoisyNeighbours() {
    double roundRobin = replay(Decision.TURN, 120).inTimeShare();
    double unprobed = replay(Decision.KNOWN, 120).inTimeShare();
    double limited = replay(Decision.ROOM, 120).inTimeShare();
    assertTrue(limited > unprobed + 0.02, unprobed + " to " + limited);
    assertTrue(limited > roundRobin + 0.1, roundRobin + " to " + limited);
  }

  /**
   * Twice the requests that the servers can execute. Without a limit every queue fills, all servers
   * are above the knee, and hardly any answer is in time although the servers are never idle.
   */
  @Test
  public void keepingServersBelowTheirKneeServesMoreInTimeUnderOverload() {
    double unlimited = replay(Decision.ASKED, 480).inTimeShare();
    double limited = replay(Decision.ROOM, 480).inTimeShare();
    assertTrue(limited > 1.5 * unlimited, unlimited + " to " + limited);
  }
}
