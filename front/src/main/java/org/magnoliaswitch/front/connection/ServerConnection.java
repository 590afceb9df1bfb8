package org.magnoliaswitch.front.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.loop.Channels;
import org.magnoliaswitch.front.version.HeaderNames;

/**
 * One HTTP/1.1 connection to a backend server, which carries one exchange at a time.
 *
 * <p>An answer counts only if it echoes the id of the request that waits: a server may send a
 * second answer late, just where the next one is due. Such an answer is skipped, and the connection
 * is closed after the exchange. Bytes that belong to no request close it at once.
 */
public final class ServerConnection extends ChannelInboundHandlerAdapter {
  /** Bounds what one answer may hold in memory, in bytes. */
  private static final int MAX_BODY_BYTES = 8 << 20;

  /** Subtracted from the server's own idle time, so that no request meets its close. */
  private static final long KEEP_ALIVE_MARGIN_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final String KEEP_ALIVE = "keep-alive";
  private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

  /** The pool that a connection belongs to. */
  interface Owner {
    /** The connection can carry another exchange. */
    void released(ServerConnection connection);

    /** The connection is of no more use. */
    void closed(ServerConnection connection);
  }

  private final Channel channel;
  private final Owner owner;
  private final Clocks clocks;
  private final HeaderNames names;
  private final ByteBuf body = Unpooled.buffer(0);
  private @Nullable Exchange exchange;
  private @Nullable HttpResponse head;
  private boolean skipping;
  private boolean tainted;
  private boolean closed;
  private boolean releaseDue;
  private long idleSinceNanos;
  private long keepNanos = Long.MAX_VALUE;

  /** What waits for an answer. */
  private record Exchange(
      Optional<String> requestId, boolean head, ChannelFuture written, ReplyListener listener) {}

  ServerConnection(Channel channel, Owner owner, Clocks clocks, HeaderNames names) {
    this.channel = channel;
    this.owner = owner;
    this.clocks = clocks;
    this.names = names;
    this.idleSinceNanos = clocks.nanos();
  }

  /**
   * Writes a request; the listener is told once how it ends.
   *
   * @param requestId id that the answer must echo; absent for health checks
   */
  public void send(FullHttpRequest request, Optional<String> requestId, ReplyListener listener) {
    if (exchange != null) {
      throw new IllegalStateException("the connection is busy");
    }
    boolean headOnly = HttpMethod.HEAD.equals(request.method());
    ChannelFuture written = channel.writeAndFlush(request);
    exchange = new Exchange(requestId, headOnly, written, listener);
    if (closed) {
      finish(new ServerReply.Broken("closed"));
    }
  }

  /** Whether the answer that is due has no body whatever its headers say. */
  boolean answersHead() {
    return exchange != null && exchange.head();
  }

  /** Closes the connection; a waiting listener is not told. */
  public void abandon() {
    exchange = null;
    close();
  }

  /** Whether a request could be written now. */
  public boolean usable(long nowNanos, long maxIdleNanos) {
    long idle = nowNanos - idleSinceNanos;
    return !closed && channel.isActive() && idle < Math.min(maxIdleNanos, keepNanos);
  }

  /** How long the connection has been idle. */
  public long idleNanos(long nowNanos) {
    return nowNanos - idleSinceNanos;
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
  public void channelReadComplete(ChannelHandlerContext context) {
    if (releaseDue) {
      releaseDue = false;
      release();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    broken("closed");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    broken(cause instanceof IOException ? "reset" : "malformed");
  }

  private void read(HttpObject message) {
    if (closed) {
      return;
    }
    if (message.decoderResult().isFailure()) {
      broken("malformed");
      return;
    }
    if (exchange == null || releaseDue) {
      // An answer or bytes that nobody waits for: whatever comes next on it cannot be trusted.
      releaseDue = false;
      close();
      return;
    }
    if (message instanceof HttpResponse response) {
      readHead(response);
    }
    if (message instanceof HttpContent content) {
      readContent(content);
    }
  }

  private void readHead(HttpResponse response) {
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skipping = true;
      return;
    }
    skipping = !belongs(response);
    tainted |= skipping;
    head = skipping ? null : response;
    body.clear();
  }

  private boolean belongs(HttpResponse response) {
    if (exchange == null || exchange.requestId().isEmpty()) {
      return true;
    }
    String echoed = response.headers().get(names.requestId());
    if (echoed == null) {
      // Only a refusal may lack the id; taking anything else could hand out another's answer.
      return !tainted
          && (response.headers().contains(names.notExecuted())
              || response.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code());
    }
    return echoed.equals(exchange.requestId().get());
  }

  private void readContent(HttpContent content) {
    if (!skipping) {
      body.writeBytes(content.content());
      if (body.readableBytes() > MAX_BODY_BYTES) {
        broken("too_large");
        return;
      }
    }
    if (content instanceof LastHttpContent && !skipping && head != null) {
      whole(head);
    }
  }

  private void whole(HttpResponse response) {
    byte[] bytes = new byte[body.readableBytes()];
    body.readBytes(bytes);
    body.clear();
    if (body.capacity() > (64 << 10)) {
      body.capacity(0);
    }
    Exchange ended = exchange;
    if (ended == null) {
      return;
    }
    // An answer before the request was written: the server would read the rest as a new request.
    boolean early = !ended.written().isDone();
    boolean framed =
        HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
    boolean keep = HttpUtil.isKeepAlive(response) && (framed || ended.head());
    keepNanos = keepAlive(response);
    if (early || tainted || !keep || !channel.isActive()) {
      close();
    } else {
      releaseDue = true;
    }
    finish(new ServerReply.Complete(response.status(), response.headers(), bytes));
  }

  private void finish(ServerReply reply) {
    Exchange ended = exchange;
    exchange = null;
    head = null;
    skipping = false;
    if (ended != null) {
      ended.listener().ended(reply);
    }
  }

  private void release() {
    if (!closed) {
      idleSinceNanos = clocks.nanos();
      owner.released(this);
    }
  }

  private void broken(String reason) {
    close();
    finish(new ServerReply.Broken(reason));
  }

  private void close() {
    if (!closed) {
      closed = true;
      Channels.close(channel);
      owner.closed(this);
    }
  }

  private static long keepAlive(HttpResponse response) {
    String value = response.headers().get(KEEP_ALIVE);
    int start = value == null ? -1 : value.indexOf(KEEP_ALIVE_TIMEOUT);
    if (value == null || start < 0) {
      return Long.MAX_VALUE;
    }
    int end = start + KEEP_ALIVE_TIMEOUT.length();
    long seconds = 0;
    while (end < value.length() && Character.isDigit(value.charAt(end))) {
      seconds = Math.min(Integer.MAX_VALUE, seconds * 10 + (value.charAt(end) - '0'));
      end++;
    }
    return Math.max(0, TimeUnit.SECONDS.toNanos(seconds) - KEEP_ALIVE_MARGIN_NANOS);
  }
}
