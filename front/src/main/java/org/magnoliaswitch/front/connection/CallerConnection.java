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
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.loop.Channels;
import org.magnoliaswitch.front.version.CallerLimits;

/**
 * One HTTP/1.1 connection of a caller.
 *
 * <p>Callers may pipeline requests. Idempotent requests run concurrently, and their responses are
 * written in order. Any other request waits until it is the oldest, because a response that closes
 * the connection makes the caller repeat all requests after it.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  /** Limit of unanswered requests on one connection; further bytes stay in the kernel's buffer. */
  private static final int MAX_PIPELINED_REQUESTS = 64;

  /** Time to wait for the caller to close the connection once it must have received everything. */
  private static final long CLOSE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final CallerRequest UNPARSABLE_REQUEST =
      new CallerRequest(HttpMethod.GET, "", new DefaultHttpHeaders(), new byte[0], 0, false, "");

  private final Channel channel;
  private final RequestHandler handler;
  private final CallerListener listener;
  private final Clocks clocks;
  private final ResponseWriter writer;
  private final Deque<PendingRequest> pendingRequests = new ArrayDeque<>();
  private final BodyBuffer body;
  private @Nullable HttpRequest head;
  private HttpHeaders lastHeaders = EmptyHttpHeaders.INSTANCE;
  private boolean connectionUsed;
  private boolean closing;
  private boolean malformed;
  private boolean stalled;
  private boolean proceeding;
  private boolean proceedAgain;
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
    if (!pendingRequests.isEmpty() || closing) {
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
    return partial || head != null || !pendingRequests.isEmpty();
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
    long cutBytes = writer.unsentBytes() + writer.lostBytes();
    if (cutBytes > 0) {
      handler.responseCut(lastHeaders, cutBytes, stalled ? "stalled" : "disconnected");
    }
    body.discard();
    pendingRequests.forEach(pending -> pending.releaseBody(listener.memory()));
    for (PendingRequest pending : pendingRequests) {
      if (pending.call != null && pending.response == null) {
        pending.call.callerDisconnected();
      }
    }
    pendingRequests.clear();
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
    if (HttpUtil.is100ContinueExpected(request) && pendingRequests.isEmpty()) {
      Channels.write(
          channel, new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
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
      enqueue(
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

  private void enqueue(CallerRequest request, boolean keepAlive) {
    pendingRequests.addLast(new PendingRequest(request, keepAlive));
    if (pendingRequests.size() >= MAX_PIPELINED_REQUESTS) {
      channel.config().setAutoRead(false);
    }
    proceed();
  }

  /**
   * Writes responses and starts requests until neither is possible. A request that is answered
   * while it is started continues the loop in progress: a call for each of many pipelined requests
   * would fill the stack.
   */
  private void proceed() {
    proceedAgain = true;
    if (proceeding) {
      return;
    }
    proceeding = true;
    try {
      while (proceedAgain) {
        proceedAgain = false;
        writeCompletedResponses();
        startEligibleRequests();
      }
    } finally {
      proceeding = false;
    }
  }

  private void startEligibleRequests() {
    boolean oldest = true;
    for (PendingRequest pending : pendingRequests.toArray(new PendingRequest[0])) {
      boolean concurrent = handler.idempotent(pending.request);
      if (!oldest && !concurrent) {
        return;
      }
      if (pending.call == null && pending.response == null && !closing) {
        start(pending);
      }
      if (proceedAgain) {
        return;
      }
      if (!concurrent && pending.response == null) {
        return;
      }
      oldest = false;
    }
  }

  private void start(PendingRequest pending) {
    RequestHandler.Call call =
        handler.start(
            pending.request,
            response -> {
              pending.response = response;
              proceed();
            });
    pending.call = call;
  }

  private void writeCompletedResponses() {
    Iterator<PendingRequest> oldestFirst = pendingRequests.iterator();
    while (oldestFirst.hasNext() && !closing) {
      PendingRequest pending = oldestFirst.next();
      if (pending.response == null) {
        break;
      }
      oldestFirst.remove();
      write(pending, pending.response);
    }
    if (!closing) {
      if (pendingRequests.size() < MAX_PIPELINED_REQUESTS && !channel.config().isAutoRead()) {
        channel.config().setAutoRead(true);
      }
    }
  }

  private void write(PendingRequest pending, CallerResponse response) {
    pending.releaseBody(listener.memory());
    // Idle time counts from the response rather than from the request, which may have taken longer
    // than the idle timeout.
    lastUsedNanos = clocks.nanos();
    lastHeaders = pending.request.headers();
    boolean keep = pending.keepAlive && !listener.stopping();
    boolean headOnly = HttpMethod.HEAD.equals(pending.request.method());
    if (keep) {
      var unused = writer.write(response, headOnly, false);
    } else {
      writeAndClose(response, headOnly);
    }
  }

  /**
   * Rejects bytes that are no acceptable request. The response is written after those of the
   * requests before, and closes the connection.
   */
  private void reject(HttpResponseStatus status, String reason, @Nullable HttpRequest request) {
    malformed = true;
    body.discard();
    handler.rejected(status, reason, Optional.ofNullable(request));
    PendingRequest last = new PendingRequest(UNPARSABLE_REQUEST, false);
    last.response = new CallerResponse(status, new DefaultHttpHeaders(), new byte[0]);
    pendingRequests.addLast(last);
    proceed();
  }

  /**
   * Writes the last response of the connection. Requests after it are dropped, and callers repeat
   * them on another connection.
   */
  private void writeAndClose(CallerResponse response, boolean headOnly) {
    closing = true;
    for (PendingRequest pending : pendingRequests) {
      if (pending.call != null && pending.response == null) {
        pending.call.callerDisconnected();
      }
      pending.releaseBody(listener.memory());
    }
    pendingRequests.clear();
    var unused = writer.write(response, headOnly, true).addListener(done -> shutDownThenClose());
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
