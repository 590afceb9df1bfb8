package org.magnoliaswitch.front.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.core.clock.Clocks;

/**
 * Writes the responses of one caller's connection, and knows which part of them has not been sent
 * yet. A response that was handed to the channel may wait there for seconds, because its caller
 * reads slowly.
 */
final class ResponseWriter {
  /** Bodies are handed to the channel in parts of this size, so that progress shows. */
  private static final int PART_BYTES = 64 << 10;

  /** Largest part of the responses that the kernel may hold after they have been sent to it. */
  private static final long SEND_BUFFER_BYTES = 4 << 20;

  /** Speed of the slowest caller, which must receive what the kernel holds. */
  private static final long MIN_BYTES_PER_SECOND = 512 << 10;

  private final Channel channel;
  private final Clocks clocks;
  private long unsentBytes;
  private long lostBytes;
  private long progressNanos;
  private long receivedByNanos;

  ResponseWriter(Channel channel, Clocks clocks) {
    this.channel = channel;
    this.clocks = clocks;
    this.progressNanos = clocks.nanos();
    this.receivedByNanos = progressNanos;
  }

  /**
   * Writes a response.
   *
   * @param headOnly whether the response answers a HEAD request, so that it has no body
   * @param close whether it tells the caller that the connection is closed after it
   */
  ChannelFuture write(CallerResponse response, boolean headOnly, boolean close) {
    ByteBuf content = headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(response.body());
    FullHttpResponse message =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, response.status(), content);
    message.headers().set(response.headers());
    if (!headOnly && response.status().code() != HttpResponseStatus.NO_CONTENT.code()) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
    }
    if (close) {
      message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    ChannelFuture written = writeParts(message);
    channel.flush();
    return written;
  }

  private ChannelFuture writeParts(FullHttpResponse response) {
    if (unsentBytes == 0) {
      progressNanos = clocks.nanos();
    }
    if (response.content().readableBytes() <= PART_BYTES) {
      return writePart(response, response.content().readableBytes());
    }
    DefaultHttpResponse head =
        new DefaultHttpResponse(response.protocolVersion(), response.status(), response.headers());
    var unusedHead = writePart(head, 0);
    ByteBuf body = response.content();
    while (body.readableBytes() > PART_BYTES) {
      var unusedPart =
          writePart(new DefaultHttpContent(body.readRetainedSlice(PART_BYTES)), PART_BYTES);
    }
    return writePart(new DefaultLastHttpContent(body), body.readableBytes());
  }

  private ChannelFuture writePart(Object part, int bodyBytes) {
    // An empty body must count, too, while its head waits.
    int bytes = bodyBytes + 1;
    unsentBytes += bytes;
    return channel.write(part).addListener(done -> sent(bytes, done.isSuccess()));
  }

  private void sent(int bytes, boolean success) {
    unsentBytes -= bytes;
    if (!success) {
      lostBytes += bytes;
      return;
    }
    progressNanos = clocks.nanos();
    long heldAtMost = progressNanos + nanosToReceive(SEND_BUFFER_BYTES);
    long received = Math.max(progressNanos, receivedByNanos) + nanosToReceive(bytes);
    receivedByNanos = Math.min(heldAtMost, received);
  }

  private static long nanosToReceive(long bytes) {
    return TimeUnit.SECONDS.toNanos(1) * bytes / MIN_BYTES_PER_SECOND;
  }

  /** Bytes of responses that have not been sent yet, about. */
  long unsentBytes() {
    return unsentBytes;
  }

  /** Bytes of responses that were not sent before the connection was closed, about. */
  long lostBytes() {
    return lostBytes;
  }

  /** When a part of a response was last sent; the creation of the connection if none was. */
  long progressNanos() {
    return progressNanos;
  }

  /** Time until the slowest caller has received what has been sent; 0 if it has. */
  long unreceivedNanos(long nowNanos) {
    return Math.max(0, receivedByNanos - nowNanos);
  }
}
