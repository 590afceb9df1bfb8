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
 * Replays loads on the decisions alone, in virtual time with fixed seeds: eighteen instances that
 * do not see each other, nineteen servers with neighbours.
 */
public final class LoadReplayTest {
  private static final int INSTANCES = 18;
  private static final int SERVERS = 19;
  private static final double WORK_MILLIS = 120;
  private static final double OBJECTIVE_MILLIS = 300;
  private static final double STEP_MILLIS = 2;
  private static final double LENGTH_MILLIS = 20_000;
  private static final int ASKED = 3;

  /** Which part of the decision is in force. */
  private enum Decision {
    /** Any server, in turn. */
    TURN,
    /** The best by what is known; nobody is asked and nothing is refused. */
    KNOWN,
    /** The best three are asked first. */
    ASKED,
    /** As before, and only where there is room. */
    ROOM
  }

  /**
   * What became of the requests.
   *
   * @param offered requests that came
   * @param inTime answered within the objective
   * @param answered answered at all
   */
  private record Result(int offered, int inTime, int answered) {
    double inTimeShare() {
      return inTime / (double) offered;
    }
  }

  /** One replay. */
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
        if (models.get(server).take(new ServerModel.Job(instance, now, Math.max(20, work)))) {
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
            .limit(ASKED)
            .forEach(asked -> sample(instance, own.indexOf(asked.server()), now));
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
   * A calm day with noisy neighbours. Reports are too old to tell who is slow now; asking the best
   * three before the send must bring more answers in time than going by what is known, or in turn.
   */
  @Test
  public void askingFirstBringsMoreAnswersInTimeBesideNoisyNeighbours() {
    double turn = replay(Decision.TURN, 120).inTimeShare();
    double known = replay(Decision.KNOWN, 120).inTimeShare();
    double room = replay(Decision.ROOM, 120).inTimeShare();
    assertTrue(room > known + 0.02, known + " to " + room);
    assertTrue(room > turn + 0.1, turn + " to " + room);
  }

  /**
   * Twice the requests that the servers can run. Without a bound every queue fills, all slots are
   * above the knee, and hardly an answer is in time although the servers work without pause.
   */
  @Test
  public void keepingServersBelowTheirKneeServesMoreInTimeUnderOverload() {
    double asked = replay(Decision.ASKED, 480).inTimeShare();
    double room = replay(Decision.ROOM, 480).inTimeShare();
    assertTrue(room > 1.5 * asked, asked + " to " + room);
  }
}
