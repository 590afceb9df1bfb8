package org.magnoliaswitch.front.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
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
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.loop.Channels;
import org.magnoliaswitch.front.version.CallerLimits;

/**
 * One HTTP/1.1 connection of a caller.
 *
 * <p>Callers may send further requests before the first is answered. Idempotent ones run side by
 * side and are answered in order; any other waits until it is the oldest, since an answer that
 * closes the connection makes the caller send everything behind it again.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  /** Requests read ahead on one connection; more wait in the kernel. */
  private static final int MAX_PIPELINED = 64;

  /** Longest wait for the caller's own close behind a last answer. */
  private static final long LINGER_MILLIS = 500;

  private static final CallerRequest UNREADABLE =
      new CallerRequest(HttpMethod.GET, "", new DefaultHttpHeaders(), new byte[0], 0, false, "");

  private static final HttpResponseStatus BAD_REQUEST = HttpResponseStatus.BAD_REQUEST;

  private final Channel channel;
  private final RequestHandler handler;
  private final CallerListener listener;
  private final Clocks clocks;
  private final Deque<Slot> slots = new ArrayDeque<>();
  private final ByteBuf body = Unpooled.buffer(0);
  private @Nullable HttpRequest head;
  private boolean carriedRequests;
  private boolean closing;
  private boolean malformed;
  private long lastUsedNanos;
  private long partialSinceNanos;
  private boolean partial;

  /** A request in its place among those of the connection. */
  private static final class Slot {
    private final CallerRequest request;
    private final boolean keepAlive;
    private RequestHandler.@Nullable Call call;
    private @Nullable CallerResponse answer;

    Slot(CallerRequest request, boolean keepAlive) {
      this.request = request;
      this.keepAlive = keepAlive;
    }
  }

  CallerConnection(
      Channel channel, RequestHandler handler, CallerListener listener, Clocks clocks) {
    this.channel = channel;
    this.handler = handler;
    this.listener = listener;
    this.clocks = clocks;
    this.lastUsedNanos = clocks.nanos();
  }

  /** Notes that bytes came, before they are decoded. */
  void bytesArrived() {
    lastUsedNanos = clocks.nanos();
    if (!partial) {
      partial = true;
      partialSinceNanos = lastUsedNanos;
    }
  }

  /** Closes the connection when a caller keeps it idle, or takes too long over a request. */
  void sweep(long nowNanos) {
    if (!slots.isEmpty() || closing) {
      return;
    }
    CallerLimits limits = listener.limits();
    if (partial && nowNanos - partialSinceNanos > limits.headerTimeoutNanos() && head == null) {
      refuse(HttpResponseStatus.REQUEST_TIMEOUT, "slow_head", null);
    } else if (nowNanos - lastUsedNanos > limits.idleTimeoutNanos()) {
      if (partial) {
        refuse(HttpResponseStatus.REQUEST_TIMEOUT, "slow_request", head);
      } else {
        Channels.close(channel);
      }
    }
  }

  /** Closes the connection once nothing of a request has been read. */
  void closeIfIdle() {
    if (!busy()) {
      Channels.close(channel);
    }
  }

  /** Whether a request is being read, run or answered. */
  boolean busy() {
    return partial || head != null || !slots.isEmpty();
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
    listener.release(body.readableBytes());
    body.clear();
    slots.forEach(slot -> listener.release(slot.request.body().length));
    for (Slot slot : slots) {
      if (slot.call != null && slot.answer == null) {
        slot.call.callerDisconnected();
      }
    }
    slots.clear();
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
      refuse(BAD_REQUEST, reason, message instanceof HttpRequest request ? request : head);
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
      refuse(BAD_REQUEST, "host", request);
      return;
    }
    if (HttpUtil.getContentLength(request, 0L) > listener.limits().maxBodyBytes()) {
      refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body", request);
      return;
    }
    head = request;
    body.clear();
    if (HttpUtil.is100ContinueExpected(request) && slots.isEmpty()) {
      Channels.write(
          channel, new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void readContent(HttpContent content, HttpRequest request) {
    int length = body.readableBytes() + content.content().readableBytes();
    if (length > listener.limits().maxBodyBytes()) {
      refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body", request);
      return;
    }
    if (!listener.reserve(content.content().readableBytes())) {
      refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "memory", request);
      return;
    }
    body.writeBytes(content.content());
    if (content instanceof LastHttpContent) {
      byte[] bytes = new byte[body.readableBytes()];
      body.readBytes(bytes);
      body.clear();
      if (body.capacity() > (64 << 10)) {
        body.capacity(0);
      }
      head = null;
      partial = false;
      boolean used = carriedRequests;
      carriedRequests = true;
      enqueue(
          new CallerRequest(
              request.method(),
              request.uri(),
              request.headers(),
              bytes,
              clocks.nanos(),
              used,
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
    slots.addLast(new Slot(request, keepAlive));
    if (slots.size() >= MAX_PIPELINED) {
      channel.config().setAutoRead(false);
    }
    startEligible();
  }

  private void startEligible() {
    boolean oldest = true;
    for (Slot slot : slots.toArray(new Slot[0])) {
      boolean beside = handler.idempotent(slot.request);
      if (!oldest && !beside) {
        return;
      }
      if (slot.call == null && slot.answer == null && !closing) {
        start(slot);
      }
      if (!beside && slot.answer == null) {
        return;
      }
      oldest = false;
    }
  }

  private void start(Slot slot) {
    RequestHandler.Call call =
        handler.start(
            slot.request,
            answer -> {
              slot.answer = answer;
              flushAnswered();
            });
    slot.call = call;
  }

  private void flushAnswered() {
    Iterator<Slot> oldestFirst = slots.iterator();
    while (oldestFirst.hasNext() && !closing) {
      Slot slot = oldestFirst.next();
      if (slot.answer == null) {
        break;
      }
      oldestFirst.remove();
      write(slot, slot.answer);
    }
    if (!closing) {
      if (slots.size() < MAX_PIPELINED && !channel.config().isAutoRead()) {
        channel.config().setAutoRead(true);
      }
      startEligible();
    }
  }

  private void write(Slot slot, CallerResponse answer) {
    listener.release(slot.request.body().length);
    // Idle time counts from the answer: a caller may use the connection again long after a slow
    // one.
    lastUsedNanos = clocks.nanos();
    boolean keep = slot.keepAlive && !listener.stopping();
    boolean headOnly = HttpMethod.HEAD.equals(slot.request.method());
    ByteBuf content = headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(answer.body());
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, answer.status(), content);
    response.headers().set(answer.headers());
    if (!headOnly && answer.status().code() != HttpResponseStatus.NO_CONTENT.code()) {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
    }
    if (keep) {
      Channels.write(channel, response);
    } else {
      closeAfter(response);
    }
  }

  /** Answers what cannot be read as a request, behind the answers that are still due. */
  private void refuse(HttpResponseStatus status, String reason, @Nullable HttpRequest request) {
    malformed = true;
    handler.rejected(status, reason, Optional.ofNullable(request));
    Slot last = new Slot(UNREADABLE, false);
    last.answer = new CallerResponse(status, new DefaultHttpHeaders(), new byte[0]);
    slots.addLast(last);
    flushAnswered();
  }

  /** Answers last: requests behind it were not read, and callers send them again. */
  private void closeAfter(FullHttpResponse response) {
    closing = true;
    for (Slot slot : slots) {
      if (slot.call != null && slot.answer == null) {
        slot.call.callerDisconnected();
      }
      listener.release(slot.request.body().length);
    }
    slots.clear();
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    Channels.writeThen(channel, response, this::lingerThenClose);
  }

  /**
   * Closes in two steps: a close with unread bytes resets the connection, and the reset can
   * overtake the answer at the caller.
   */
  private void lingerThenClose() {
    if (channel instanceof DuplexChannel duplex && channel.isActive()) {
      var unused = duplex.shutdownOutput();
      listener.loop().afterMillis(LINGER_MILLIS, () -> Channels.close(channel));
    } else {
      Channels.close(channel);
    }
  }
}
