package org.magnoliaswitch.bench.model;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

/** Collects the results of requests by the second of their first attempt. */
final class ReplayMetrics {
  private static final int SECONDS = (int) (LoadPattern.LENGTH_MILLIS / 1_000);

  /** The first seconds, in which all policies collect their state, are not counted. */
  private static final int WARM_UP_SECONDS = 2;

  private final double[] offeredValue = new double[SECONDS];
  private final double[] earnedValue = new double[SECONDS];
  private int requests;
  private int served;
  private int inTime;
  private int refusedTwice;
  private int probes;
  private int connects;
  private int attempts;
  private int nearAttempts;

  /**
   * The results of one replay.
   *
   * @param served share of requests that were answered
   * @param inTime share of requests that were answered within their objective
   * @param credit share of the value of all requests that callers received
   * @param worstSecond share of the value received in the two worst seconds
   * @param refusedTwice share of requests that were rejected again after their last retry
   * @param probes load probes per request
   * @param near share of the attempts at servers in the own data centre
   * @param connects connections opened to servers per request
   */
  record Result(
      double served,
      double inTime,
      double credit,
      double worstSecond,
      double refusedTwice,
      double probes,
      double near,
      double connects) {
    static Result mean(List<Result> results) {
      return new Result(
          mean(results, Result::served),
          mean(results, Result::inTime),
          mean(results, Result::credit),
          mean(results, Result::worstSecond),
          mean(results, Result::refusedTwice),
          mean(results, Result::probes),
          mean(results, Result::near),
          mean(results, Result::connects));
    }

    private static double mean(List<Result> results, ToDoubleFunction<Result> figure) {
      return results.stream().mapToDouble(figure).average().orElse(0);
    }
  }

  void recordRequest(ModelRequest request) {
    int second = second(request);
    if (second >= WARM_UP_SECONDS) {
      requests++;
      offeredValue[second] += request.kind().value();
    }
  }

  void recordAnswer(ModelRequest request, long nowNanos) {
    int second = second(request);
    if (second < WARM_UP_SECONDS) {
      return;
    }
    boolean withinObjective = nowNanos <= request.objectiveEndNanos();
    served++;
    inTime += withinObjective ? 1 : 0;
    earnedValue[second] += withinObjective ? request.kind().value() : request.kind().lateValue();
  }

  /** Records a load probe of a server. */
  void recordProbe() {
    probes++;
  }

  /** Records that a connection to a server was opened. */
  void recordConnection() {
    connects++;
  }

  /** Records an attempt at a server, which is in the own data centre or not. */
  void recordAttempt(boolean near) {
    attempts++;
    nearAttempts += near ? 1 : 0;
  }

  void recordRepeatedRejection(ModelRequest request) {
    refusedTwice += second(request) >= WARM_UP_SECONDS ? 1 : 0;
  }

  Result result() {
    double total = 0;
    double credit = 0;
    double[] shares = new double[SECONDS - WARM_UP_SECONDS];
    for (int i = WARM_UP_SECONDS; i < SECONDS; i++) {
      total += offeredValue[i];
      credit += earnedValue[i];
      shares[i - WARM_UP_SECONDS] = offeredValue[i] > 0 ? earnedValue[i] / offeredValue[i] : 1;
    }
    Arrays.sort(shares);
    return new Result(
        served / (double) requests,
        inTime / (double) requests,
        credit / total,
        (shares[0] + shares[1]) / 2,
        refusedTwice / (double) requests,
        probes / (double) requests,
        nearAttempts / (double) Math.max(1, attempts),
        connects / (double) requests);
  }

  private static int second(ModelRequest request) {
    int second = (int) (request.startMillis() / TimeUnit.SECONDS.toMillis(1));
    return Math.min(SECONDS - 1, second);
  }
}
