package org.magnoliaswitch.front.load;

import java.util.Optional;
import org.magnoliaswitch.front.version.Warmup;

/**
 * How much one instance may send to one server that is cold; pure.
 *
 * <p>Load pattern: a data centre's servers come back empty in a burst. They look idle to all
 * instances at once, get many times what they bear, and end. The bound holds for every second over
 * all instances together, and these do not ask each other.
 *
 * <p>Where the bound allows each instance a request a second, each gets an even part of it. Where
 * it does not, few instances send to the server at all, one request a second each, and the others
 * pass it by. A bucket of a fraction of a request a second would not do: every instance starts with
 * the same right to a first request, and all use it at once.
 *
 * <p>Who sends is drawn for each server's incarnation. An instance that has a place among all of
 * them draws an exact number of senders. One without hashes its name, and so few are drawn on
 * average that a draw of more than the bound is most unlikely; most of the bound is not used then.
 *
 * @param mostPerSecond sends of this instance to the server in any second; 0 if it may not send
 */
public record ColdShare(int mostPerSecond) {
  /** Part of the slack that is planned with; the rest covers a wrong count of instances. */
  private static final double SLACK_SHARE = 0.5;

  /**
   * Part of the planned senders that places draw. While a seed ends, some instances have their
   * places from it and others from the next one: the two draws of a server add up.
   */
  private static final double PLACED_SHARE = 0.75;

  /** Standard deviations of the number of drawn instances that lie below the bound. */
  private static final double DRAW_MARGIN = 3;

  /** An instance that knows of no other may just not have heard of it. */
  private static final int LEAST_SHARERS = 2;

  /** No limit at all. */
  private static final ColdShare UNLIMITED = new ColdShare(Integer.MAX_VALUE);

  /**
   * What is tolerated beyond the rate that a service declares for its cold servers.
   *
   * @param excess multiple of the declared rate
   * @param slack requests a second besides
   */
  public record Bounds(double excess, double slack) {
    /** In force when a deployment names none: the declared rate. */
    public static final Bounds NONE = new Bounds(1, 0);

    /** Requests in any second that all instances together may plan with. */
    double plannedPerSecond(Warmup warmup) {
      return excess * warmup.perSecond() + SLACK_SHARE * slack;
    }
  }

  /**
   * The share of one instance.
   *
   * @param instance its name
   * @param incarnation names the server and its start
   * @param instances how many instances serve, as far as known
   * @param place the instance's place among them, if it has one
   */
  public static ColdShare of(
      Warmup warmup,
      Bounds bounds,
      String instance,
      String incarnation,
      int instances,
      Optional<InstancePlace> place) {
    if (!warmup.limited()) {
      return UNLIMITED;
    }
    double planned = bounds.plannedPerSecond(warmup);
    int sharers = Math.max(LEAST_SHARERS, instances);
    if (sharers <= planned) {
      return new ColdShare((int) (planned / sharers));
    }
    boolean drawn =
        place
            .map(known -> known.drawn(incarnation, placedSenders(planned)))
            .orElseGet(() -> draw(instance, incarnation) < meanSenders(planned) / sharers);
    return new ColdShare(drawn ? 1 : 0);
  }

  private static int placedSenders(double planned) {
    return (int) Math.max(Math.min(1, planned), PLACED_SHARE * planned);
  }

  /** Mean number of senders at which the planned sum lies the margin above it. */
  private static double meanSenders(double planned) {
    double root = (Math.sqrt(DRAW_MARGIN * DRAW_MARGIN + 4 * planned) - DRAW_MARGIN) / 2;
    return root * root;
  }

  /** A number from 0 to 1 that depends on both names only. */
  private static double draw(String instance, String incarnation) {
    return (NameHash.of(instance, incarnation) >>> 11) * 0x1.0p-53;
  }
}
