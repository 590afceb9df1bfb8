package org.magnoliaswitch.front.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests pipelined requests of callers that read their responses slowly or not at all. */
public final class RequestPipelineTest {
  private static final String REQUEST = "GET /%s HTTP/1.1\r\nHost: h\r\n\r\n";
  private static final int LARGE_BODY_BYTES = 1 << 20;

  private static EmbeddedCaller slowCaller() {
    EmbeddedCaller caller = new EmbeddedCaller();
    caller.link.holding = true;
    caller.send(REQUEST.formatted("a"));
    caller.respond(0, LARGE_BODY_BYTES);
    return caller;
  }

  /** Guards against a caller that reads nothing and has ever more responses wait for it. */
  @Test
  public void furtherRequestsWaitUntilTheyAreRead() {
    EmbeddedCaller caller = slowCaller();
    caller.send(REQUEST.formatted("b").repeat(40));
    int started = caller.responseConsumers.size();
    assertTrue(
        (long) started * LARGE_BODY_BYTES <= RequestPipeline.MAX_WAITING_BYTES, "" + started);
    for (int i = 1; i < started; i++) {
      caller.respond(i, LARGE_BODY_BYTES);
    }
    assertEquals(caller.responseConsumers.size(), started);
    caller.link.readAll();
    assertTrue(caller.responseConsumers.size() > started);
  }

  /** Guards against responses without a body, which hold memory, too. */
  @Test
  public void emptyResponsesAreLimited() {
    EmbeddedCaller caller = new EmbeddedCaller();
    caller.link.holding = true;
    caller.answersAtOnce = true;
    int sent = 10_000;
    caller.send(REQUEST.formatted("a").repeat(sent));
    assertTrue(caller.responseConsumers.size() < sent);
    for (int i = 0; i < 10; i++) {
      caller.link.readAll();
    }
    assertEquals(caller.responseConsumers.size(), sent);
  }

  /** Guards against a request that waits for ever, because its response may be too large. */
  @Test
  public void largestResponsesAreReceivedOneByOne() {
    EmbeddedCaller caller = new EmbeddedCaller();
    int large = 5 << 20;
    caller.send(REQUEST.formatted("a"));
    caller.respond(0, large);
    caller.send(REQUEST.formatted("b") + REQUEST.formatted("c"));
    assertEquals(caller.responseConsumers.size(), 2);
    caller.respond(1, large);
    assertEquals(caller.responseConsumers.size(), 3);
  }

  /** Guards against callers that read nothing and together fill the heap. */
  @Test
  public void connectionThatHoldsTheMostIsClosed() {
    EmbeddedCaller most = slowCaller();
    most.send(REQUEST.formatted("b").repeat(2));
    List<EmbeddedCaller> others = new ArrayList<>();
    int each = 8 << 20;
    for (int i = 0; i < 3; i++) {
      EmbeddedCaller other = new EmbeddedCaller(most.listener);
      other.link.holding = true;
      other.send(REQUEST.formatted("a"));
      other.respond(0, each);
      others.add(other);
    }
    most.respond(1, each);
    most.channel.runPendingTasks();
    assertFalse(most.channel.isOpen());
    assertEquals(most.cut, List.of("memory"));
    assertEquals(most.disconnected, List.of("/b"));
    assertTrue(others.stream().allMatch(other -> other.channel.isOpen()));
    assertEquals(most.listener.waitingResponseBytes() / each, 3);
  }

  /** Guards against memory that stays counted after a connection has ended. */
  @Test
  public void nothingIsHeldForAClosedConnection() {
    EmbeddedCaller caller = slowCaller();
    caller.send(REQUEST.formatted("b").repeat(2));
    caller.respond(2, LARGE_BODY_BYTES);
    caller.channel.finish();
    caller.channel.runPendingTasks();
    assertEquals(caller.listener.waitingResponseBytes(), 0);
    EmbeddedCaller stopped = new EmbeddedCaller(caller.listener);
    stopped.send(REQUEST.formatted("a") + REQUEST.formatted("b"));
    stopped.respond(1, LARGE_BODY_BYTES);
    caller.listener.startDraining();
    stopped.respond(0, LARGE_BODY_BYTES);
    assertEquals(caller.listener.waitingResponseBytes(), 0);
  }
}
