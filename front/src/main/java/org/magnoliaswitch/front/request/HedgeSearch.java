package org.magnoliaswitch.front.request;

import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.loop.Loop;

/**
 * Searches for a second server for an idempotent request whose answer is overdue, until one is
 * found. A single search is not enough: under load there is no free server at most moments, and the
 * request would stay with a server that hangs until its caller gives up.
 */
final class HedgeSearch {
  /** Interval between two searches; each probes up to six servers. */
  private static final long SEARCH_INTERVAL_MILLIS = 100;

  private final RoutedExchange exchange;
  private final Loop loop;
  private final RequestPlacement placement;
  private final RequestTimes times;
  private boolean denied;

  HedgeSearch(RoutedExchange exchange, Loop loop, RequestPlacement placement, RequestTimes times) {
    this.exchange = exchange;
    this.loop = loop;
    this.placement = placement;
    this.times = times;
  }

  /**
   * Searches as long as the late attempt is the only open one, a further attempt is allowed and
   * there is time left for a response.
   */
  void search(Attempt late) {
    boolean useful = times.remainingNanos() > times.usualLatencyNanos();
    if (exchange.waitsOnlyFor(late) && useful && !denied) {
      placement.findFurther(server -> send(server, late));
      loop.afterMillis(SEARCH_INTERVAL_MILLIS, () -> search(late));
    }
  }

  private void send(ServerState server, Attempt late) {
    if (!exchange.waitsOnlyFor(late)) {
      return;
    }
    if (exchange.attempts().tryHedge()) {
      placement.sendTo(server);
    } else {
      denied = true;
    }
  }
}
