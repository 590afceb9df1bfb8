package org.magnoliaswitch.core.request;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.HttpException;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.connection.ConnectionPool;
import org.magnoliaswitch.core.peer.Address;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.process.RefusedResponses;

/** Forwards a request to the instance whose incarnation holds its idempotency key. */
public final class HolderForwarder implements KeyHolderClient {
  /** Request header of a forwarded request, which must not be forwarded again. */
  public static final String HOP_HEADER = "Key-Holder-Hop";

  private static final int CONNECT_TIMEOUT_MILLIS = 250;
  private static final int MAX_CONNECTIONS = 64;
  private static final long FRESH_CONNECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final Clocks clocks;
  private final RefusedResponses refusedResponses;
  private final Map<Address, ConnectionPool> pools = new ConcurrentHashMap<>();

  public HolderForwarder(Clocks clocks, RefusedResponses refusedResponses) {
    this.clocks = clocks;
    this.refusedResponses = refusedResponses;
  }

  @Override
  public AttemptResult forward(InboundRequest request, Member holder) {
    ConnectionPool pool =
        pools.computeIfAbsent(
            holder.callerAddress(), a -> new ConnectionPool(a.socket(), MAX_CONNECTIONS, clocks));
    Exchange exchange = new Exchange(pool, request.deadline(), clocks);
    try {
      exchange.connect(FRESH_CONNECTION_NANOS, CONNECT_TIMEOUT_MILLIS, request.id());
      exchange.send(Exchange.outbound(request, hopFields(request, holder)));
      Exchange.Head head = exchange.awaitHead(Long.MAX_VALUE);
      if (head == null) {
        exchange.fail();
        return new AttemptResult.TimedOut();
      }
      Reply reply = exchange.receive(head, request.method());
      return new AttemptResult.Answered(withOutcome(reply));
    } catch (IOException | HttpException e) {
      exchange.fail();
      return exchange.mayHaveSentBytes()
          ? new AttemptResult.Broken(e.toString())
          : new AttemptResult.NotSent(e.toString());
    } finally {
      refusedResponses.record(
          exchange.refusedResponses(), request.service().service().name(), holder.instance());
    }
  }

  private List<Field> hopFields(InboundRequest request, Member holder) {
    long remainingMillis =
        TimeUnit.NANOSECONDS.toMillis(request.deadline().remaining(clocks.nanos()));
    return List.of(
        new Field("Host", holder.callerAddress().toString()),
        new Field(HOP_HEADER, "1"),
        new Field(AttemptRunner.ID_HEADER, request.id()),
        new Field(AttemptRunner.DEADLINE_HEADER, String.valueOf(Math.max(1, remainingMillis))));
  }

  /**
   * Reads the outcome from the holder's header; a response without one did not come from an
   * instance of this system.
   */
  private static Reply withOutcome(Reply reply) {
    String headerValue =
        reply.fields().stream()
            .filter(field -> field.hasName(Outcome.HEADER))
            .map(Field::value)
            .findFirst()
            .orElse("");
    Outcome outcome = Outcome.UNKNOWN;
    for (Outcome candidate : Outcome.values()) {
      if (candidate.text().equals(headerValue)) {
        outcome = candidate;
      }
    }
    List<Field> fields =
        reply.fields().stream().filter(field -> !field.hasName(Outcome.HEADER)).toList();
    return new Reply(reply.status(), fields, reply.body(), outcome);
  }
}
