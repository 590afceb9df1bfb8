package org.magnoliaswitch.front.connection;

import com.google.common.base.Ticker;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.version.CallerLimits;

/** A caller on an embedded channel, with its own clock. */
final class EmbeddedCaller {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final CallerLimits LIMITS =
      new CallerLimits(8_192, 1_000, 3 * SECOND, 15 * SECOND);

  /** The link to a caller that reads only what the test lets it read. */
  static final class SlowLink extends ChannelOutboundHandlerAdapter {
    private record Write(ChannelHandlerContext context, Object message, ChannelPromise promise) {}

    private final Deque<Write> held = new ArrayDeque<>();
    boolean holding;

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      Write write = new Write(context, message, promise);
      if (holding) {
        held.add(write);
      } else {
        pass(write);
      }
    }

    private static void pass(Write write) {
      var unused = write.context.writeAndFlush(write.message, write.promise);
    }

    void readOne() {
      pass(held.removeFirst());
    }

    void readAll() {
      while (!held.isEmpty()) {
        readOne();
      }
    }
  }

  private long nowNanos = 100 * SECOND;
  final List<Consumer<CallerResponse>> responseConsumers = new ArrayList<>();
  final List<String> disconnected = new ArrayList<>();
  private final Clocks clocks =
      new Clocks(
          InstantSource.system(),
          new Ticker() {
            @Override
            public long read() {
              return nowNanos;
            }
          });
  final EmbeddedChannel channel = new EmbeddedChannel();
  final SlowLink link = new SlowLink();
  boolean answersAtOnce;
  private int nestedStarts;
  int deepestStart;
  final List<String> cut = new ArrayList<>();
  private final RequestHandler handler =
      new RequestHandler() {
        @Override
        public boolean idempotent(CallerRequest request) {
          return !request.target().startsWith("/once");
        }

        @Override
        public void responseCut(HttpHeaders lastHeaders, long unsentBytes, String reason) {
          cut.add(reason);
        }

        @Override
        public Call start(CallerRequest request, Consumer<CallerResponse> response) {
          nestedStarts++;
          deepestStart = Math.max(deepestStart, nestedStarts);
          responseConsumers.add(response);
          if (answersAtOnce) {
            respond(responseConsumers.size() - 1);
          }
          nestedStarts--;
          return () -> disconnected.add(request.target());
        }
      };
  final CallerListener listener;
  final CallerConnection connection;

  EmbeddedCaller() {
    listener = new CallerListener(Loop.start(), clocks, handler, () -> LIMITS);
    connection = install();
  }

  /** Creates another caller of the same instance. */
  EmbeddedCaller(CallerListener listener) {
    this.listener = listener;
    connection = install();
  }

  private CallerConnection install() {
    CallerConnection created = new CallerConnection(channel, handler, listener, clocks);
    channel
        .pipeline()
        .addLast(link, new CallerRequestDecoder(LIMITS), new HttpResponseEncoder(), created);
    return created;
  }

  void send(String bytes) {
    connection.bytesReceived();
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
  }

  void respond(int index) {
    respond(index, 0);
  }

  void respond(int index, int bodyBytes) {
    byte[] body = new byte[bodyBytes];
    responseConsumers
        .get(index)
        .accept(new CallerResponse(HttpResponseStatus.OK, new DefaultHttpHeaders(), body));
  }

  void advance(long seconds) {
    nowNanos += seconds * SECOND;
    connection.sweep(nowNanos);
    channel.runPendingTasks();
  }

  String received() {
    StringBuilder text = new StringBuilder();
    for (Object part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      text.append(((ByteBuf) part).toString(StandardCharsets.US_ASCII));
    }
    return text.toString();
  }
}
