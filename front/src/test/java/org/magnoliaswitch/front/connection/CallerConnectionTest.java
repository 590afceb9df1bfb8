package org.magnoliaswitch.front.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.base.Ticker;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.version.CallerLimits;
import org.testng.annotations.Test;

/** A caller's connection over time, with a clock that the test advances. */
public final class CallerConnectionTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final CallerLimits LIMITS =
      new CallerLimits(8_192, 1_000, 3 * SECOND, 15 * SECOND);
  private static final String REQUEST = "GET /%s HTTP/1.1\r\nHost: h\r\n\r\n";

  /** A caller on a connection, and time. */
  private static final class Caller {
    private long nowNanos = 100 * SECOND;
    private final List<Consumer<CallerResponse>> waiting = new ArrayList<>();
    private final List<String> left = new ArrayList<>();
    private final Clocks clocks =
        new Clocks(
            InstantSource.system(),
            new Ticker() {
              @Override
              public long read() {
                return nowNanos;
              }
            });
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final RequestHandler handler =
        new RequestHandler() {
          @Override
          public boolean idempotent(CallerRequest request) {
            return !request.target().startsWith("/once");
          }

          @Override
          public Call start(CallerRequest request, Consumer<CallerResponse> answer) {
            waiting.add(answer);
            return () -> left.add(request.target());
          }
        };
    private final CallerListener listener;
    private final CallerConnection connection;

    Caller() {
      listener = new CallerListener(Loop.start(), clocks, handler, () -> LIMITS);
      connection = install();
    }

    /** Another caller of the same instance. */
    Caller(CallerListener listener) {
      this.listener = listener;
      connection = install();
    }

    private CallerConnection install() {
      CallerConnection created = new CallerConnection(channel, handler, listener, clocks);
      channel
          .pipeline()
          .addLast(new CallerRequestDecoder(LIMITS), new HttpResponseEncoder(), created);
      return created;
    }

    private void receive(String bytes) {
      connection.bytesArrived();
      channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
    }

    private void answer(int index) {
      waiting
          .get(index)
          .accept(new CallerResponse(HttpResponseStatus.OK, new DefaultHttpHeaders(), new byte[0]));
    }

    private void pass(long seconds) {
      nowNanos += seconds * SECOND;
      connection.sweep(nowNanos);
      channel.runPendingTasks();
    }

    private String written() {
      StringBuilder text = new StringBuilder();
      for (Object part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
        text.append(((ByteBuf) part).toString(StandardCharsets.US_ASCII));
      }
      return text.toString();
    }
  }

  @Test
  public void aConnectionThatStaysIdleIsClosed() {
    Caller caller = new Caller();
    caller.receive(REQUEST.formatted("a"));
    caller.answer(0);
    caller.pass(14);
    assertTrue(caller.channel.isOpen());
    caller.pass(2);
    assertFalse(caller.channel.isOpen());
  }

  /**
   * An answer takes ten seconds, and the caller uses its connection again twelve seconds later,
   * well within the idle time. Counting from the request would close it just then, under its next
   * request.
   */
  @Test
  public void idleTimeCountsFromTheAnswer() {
    Caller caller = new Caller();
    caller.receive(REQUEST.formatted("a"));
    caller.pass(10);
    caller.answer(0);
    caller.pass(12);
    assertTrue(caller.channel.isOpen());
  }

  @Test
  public void aHeadThatNeverEndsIsAnsweredAndClosed() {
    Caller caller = new Caller();
    caller.receive("GET /a HTTP/1.1\r\nHo");
    caller.pass(2);
    assertTrue(caller.channel.isOpen());
    caller.pass(2);
    assertTrue(caller.written().startsWith("HTTP/1.1 408 "));
    assertFalse(caller.channel.isOpen());
  }

  /**
   * A request that may run once waits behind a read. The read's answer could close the connection,
   * and the caller would then send everything behind it again: it must not run before.
   */
  @Test
  public void aRequestThatMayRunOnceWaitsUntilItIsTheOldest() {
    Caller caller = new Caller();
    caller.receive(REQUEST.formatted("a") + REQUEST.formatted("once") + REQUEST.formatted("b"));
    assertEquals(caller.waiting.size(), 1);
    caller.answer(0);
    assertEquals(caller.waiting.size(), 2);
    caller.answer(1);
    assertEquals(caller.waiting.size(), 3);
  }

  @Test
  public void whenTheCallerLeavesItsRequestsAreTold() {
    Caller caller = new Caller();
    caller.receive(REQUEST.formatted("a") + REQUEST.formatted("b"));
    caller.channel.finish();
    caller.channel.runPendingTasks();
    assertEquals(caller.left, List.of("/a", "/b"));
  }

  @Test
  public void aBodyAboveTheLimitIsRefused() {
    Caller caller = new Caller();
    caller.receive("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n");
    assertTrue(caller.written().startsWith("HTTP/1.1 413 "));
    assertEquals(caller.waiting.size(), 0);
  }

  /**
   * Callers send large bodies until the memory set aside for them is used up. The next one must be
   * refused with the promise that it has not run, and what was answered must make room again.
   */
  @Test
  public void bodiesBeyondTheMemoryForThemAreRefusedUntilThereIsRoom() {
    Caller caller = new Caller();
    CallerListener listener = caller.listener;
    assertTrue(listener.reserve(32 << 20));
    caller.receive("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    assertTrue(caller.written().startsWith("HTTP/1.1 503 "));
    listener.release(32 << 20);
    Caller next = new Caller(listener);
    next.receive("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    assertEquals(next.waiting.size(), 1);
    assertFalse(listener.reserve(32 << 20));
    next.answer(0);
    assertTrue(listener.reserve(32 << 20));
  }
}
