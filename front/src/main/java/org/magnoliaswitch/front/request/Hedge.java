package org.magnoliaswitch.front.request;

import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.loop.Loop;

/**
 * Looks for a second server for an idempotent request whose answer is overdue, until there is one.
 * Under load there is none at most moments; after a single look a read stayed with a server that
 * hung until its caller gave up.
 */
final class Hedge {
  /** Time between two looks; each asks up to six servers. */
  private static final long SEEK_AGAIN_MILLIS = 100;

  private final RoutedExchange exchange;
  private final Loop loop;
  private final Placing placing;
  private final RequestTimes times;
  private boolean forbidden;

  Hedge(RoutedExchange exchange, Loop loop, Placing placing, RequestTimes times) {
    this.exchange = exchange;
    this.loop = loop;
    this.placing = placing;
    this.times = times;
  }

  /**
   * Looks while the late send is alone, a further one is allowed and there is time for an answer.
   */
  void seek(Attempt late) {
    boolean useful = times.leftNanos() > times.usualNanos();
    if (exchange.waitsOnlyFor(late) && useful && !forbidden) {
      placing.findAnother(server -> send(server, late));
      loop.afterMillis(SEEK_AGAIN_MILLIS, () -> seek(late));
    }
  }

  private void send(ServerState server, Attempt late) {
    if (!exchange.waitsOnlyFor(late)) {
      return;
    }
    if (exchange.sends().mayHedge()) {
      placing.take(server);
    } else {
      forbidden = true;
    }
  }
}
