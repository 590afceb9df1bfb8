package org.magnoliaswitch.front.connection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.loop.Channels;
import org.magnoliaswitch.front.version.CallerLimits;

/**
 * One HTTP/1.1 connection of a caller.
 *
 * <p>Receives requests, writes their responses and decides when the connection is closed; the
 * requests in between are those of its {@link RequestPipeline}.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  /** Time to wait for the caller to close the connection once it must have received everything. */
  private static final long CLOSE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final CallerRequest UNPARSABLE_REQUEST =
      new CallerRequest(HttpMethod.GET, "", new DefaultHttpHeaders(), new byte[0], 0, false, "");

  private final Channel channel;
  private final RequestHandler handler;
  private final CallerListener listener;
  private final Clocks clocks;
  private final ResponseWriter writer;
  private final RequestPipeline pipeline;
  private final BodyBuffer body;
  private @Nullable HttpRequest head;
  private HttpHeaders lastHeaders = EmptyHttpHeaders.INSTANCE;
  private boolean connectionUsed;
  private boolean closing;
  private boolean malformed;
  private boolean stalled;
  private long evictedBytes;
  private long lastUsedNanos;
  private long partialSinceNanos;
  private boolean partial;

  CallerConnection(
      Channel channel, RequestHandler handler, CallerListener listener, Clocks clocks) {
    this.channel = channel;
    this.handler = handler;
    this.listener = listener;
    this.clocks = clocks;
    this.writer = new ResponseWriter(channel, clocks);
    this.body = new BodyBuffer(listener.memory());
    this.pipeline = new RequestPipeline(this, channel, handler, listener);
    this.lastUsedNanos = clocks.nanos();
  }

  /** Records that bytes arrived; called before they are decoded. */
  void bytesReceived() {
    lastUsedNanos = clocks.nanos();
    if (!partial) {
      partial = true;
      partialSinceNanos = lastUsedNanos;
    }
  }

  /**
   * Closes the connection if it has been idle for too long, or its caller takes too long to send a
   * request.
   */
  void sweep(long nowNanos) {
    if (writer.unsentBytes() > 0) {
      closeIfStalled(nowNanos);
      return;
    }
    if (!pipeline.isEmpty() || closing) {
      return;
    }
    CallerLimits limits = listener.limits();
    long idleNanos = nowNanos - Math.max(lastUsedNanos, writer.progressNanos());
    if (partial && nowNanos - partialSinceNanos > limits.headerTimeoutNanos() && head == null) {
      reject(HttpResponseStatus.REQUEST_TIMEOUT, "slow_head", null);
    } else if (idleNanos > limits.idleTimeoutNanos()) {
      if (partial) {
        reject(HttpResponseStatus.REQUEST_TIMEOUT, "slow_request", head);
      } else {
        closeIdle();
      }
    }
  }

  /** Closes the connection if its caller has read nothing of its responses for too long. */
  private void closeIfStalled(long nowNanos) {
    if (nowNanos - writer.progressNanos() > listener.limits().idleTimeoutNanos()) {
      stalled = true;
      Channels.close(channel);
    }
  }

  /** Closes the connection unless it is busy or its responses are still being sent. */
  void closeIfIdle() {
    if (!closing && !busy() && writer.unsentBytes() == 0) {
      closeIdle();
    }
  }

  private void closeIdle() {
    if (writer.unreceivedNanos(clocks.nanos()) > 0) {
      closing = true;
      shutDownThenClose();
    } else {
      Channels.close(channel);
    }
  }

  /**
   * Whether a request is being received or executed. Does not see the beginning of a request head
   * that arrived in one read with the end of the previous request.
   */
  boolean busy() {
    return partial || head != null || !pipeline.isEmpty();
  }

  /** Bytes of responses that have not been sent yet. */
  long unsentBytes() {
    return writer.unsentBytes();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      read((HttpObject) message);
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    closing = true;
    listener.closed(this);
    reportCutResponses();
    body.discard();
    pipeline.close();
  }

  private void reportCutResponses() {
    long cutBytes = writer.unsentBytes() + writer.lostBytes();
    if (evictedBytes > 0) {
      handler.responseCut(lastHeaders, evictedBytes, "memory");
    } else if (cutBytes > 0) {
      handler.responseCut(lastHeaders, cutBytes, stalled ? "stalled" : "disconnected");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    Channels.close(channel);
  }

  private void read(HttpObject message) {
    if (closing || malformed) {
      return;
    }
    if (message.decoderResult().isFailure()) {
      String reason = message.decoderResult().cause().getClass().getSimpleName();
      reject(
          HttpResponseStatus.BAD_REQUEST,
          reason,
          message instanceof HttpRequest request ? request : head);
      return;
    }
    if (message instanceof HttpRequest request) {
      readHead(request);
    }
    if (message instanceof HttpContent content && head != null && !closing) {
      readContent(content, head);
    }
  }

  private void readHead(HttpRequest request) {
    HttpHeaders headers = request.headers();
    if (headers.getAll(HttpHeaderNames.HOST).size() != 1) {
      reject(HttpResponseStatus.BAD_REQUEST, "host", request);
      return;
    }
    if (!hasSupportedTransferCoding(headers)) {
      reject(HttpResponseStatus.BAD_REQUEST, "transfer_encoding", request);
      return;
    }
    long contentLength = HttpUtil.getContentLength(request, 0L);
    if (contentLength > listener.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body", request);
      return;
    }
    if (!body.expect((int) contentLength)) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "memory", request);
      return;
    }
    head = request;
    if (HttpUtil.is100ContinueExpected(request) && pipeline.isEmpty()) {
      Channels.write(
          channel, new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  /**
   * Whether the body has no transfer coding other than chunked. The decoder takes a body without
   * that coding for an empty one and its bytes for further requests (RFC 9112, section 6.3); it
   * removes no other coding, so that servers would receive another body than the caller has sent.
   */
  private static boolean hasSupportedTransferCoding(HttpHeaders headers) {
    List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return codings.isEmpty()
        || (codings.size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.getFirst()));
  }

  private void readContent(HttpContent content, HttpRequest request) {
    long length = (long) body.length() + content.content().readableBytes();
    if (length > listener.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body", request);
      return;
    }
    boolean last = content instanceof LastHttpContent;
    if (!body.append(content.content()) || (last && !body.trim())) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "memory", request);
      return;
    }
    if (last) {
      byte[] bytes = body.take();
      head = null;
      partial = false;
      boolean usedConnection = connectionUsed;
      connectionUsed = true;
      pipeline.add(
          new CallerRequest(
              request.method(),
              request.uri(),
              request.headers(),
              bytes,
              clocks.nanos(),
              usedConnection,
              caller()),
          HttpUtil.isKeepAlive(request));
    }
  }

  private String caller() {
    return channel.remoteAddress() instanceof InetSocketAddress address
        ? address.getAddress().getHostAddress()
        : "";
  }

  /** Writes the next response; it closes the connection if this instance is about to stop. */
  void write(PendingRequest pending, CallerResponse response) {
    // Idle time counts from the response rather than from the request, which may have taken longer
    // than the idle timeout.
    lastUsedNanos = clocks.nanos();
    lastHeaders = pending.request.headers();
    boolean keep = pending.keepAlive && !listener.stopping();
    boolean headOnly = HttpMethod.HEAD.equals(pending.request.method());
    if (keep) {
      var unused =
          writer
              .write(response, headOnly, false)
              .addListener(done -> pipeline.sent(response, done.isSuccess()));
    } else {
      writeAndClose(response, headOnly);
    }
  }

  /** Whether no further response is written. */
  boolean closing() {
    return closing;
  }

  /** Closes the connection, since its responses take too much of the memory of all. */
  void evict(long heldBytes) {
    evictedBytes = heldBytes;
    closing = true;
    Channels.close(channel);
  }

  /**
   * Rejects bytes that are no acceptable request. The response is written after those of the
   * requests before, and closes the connection.
   */
  private void reject(HttpResponseStatus status, String reason, @Nullable HttpRequest request) {
    malformed = true;
    body.discard();
    handler.rejected(status, reason, Optional.ofNullable(request));
    pipeline.addRejected(
        UNPARSABLE_REQUEST, new CallerResponse(status, new DefaultHttpHeaders(), new byte[0]));
  }

  /**
   * Writes the last response of the connection. Requests after it are dropped, and callers repeat
   * them on another connection.
   */
  private void writeAndClose(CallerResponse response, boolean headOnly) {
    closing = true;
    pipeline.drop();
    var unused =
        writer
            .write(response, headOnly, true)
            .addListener(
                done -> {
                  pipeline.sent(response, false);
                  shutDownThenClose();
                });
  }

  /**
   * Shuts down the output first and closes later: closing a socket with unread bytes resets the
   * connection, and the reset destroys what the kernel holds of the responses and can overtake them
   * on their way to the caller. What arrives meanwhile is read and dropped.
   */
  private void shutDownThenClose() {
    if (channel instanceof DuplexChannel duplex && channel.isActive()) {
      var unused = duplex.shutdownOutput();
      channel.config().setAutoRead(true);
      long timeout = writer.unreceivedNanos(clocks.nanos()) + CLOSE_TIMEOUT_NANOS;
      listener.loop().after(timeout, () -> Channels.close(channel));
    } else {
      Channels.close(channel);
    }
  }
}
