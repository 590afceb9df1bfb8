package org.magnoliaswitch.front.connection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.connection.StatusLineScanner;
import org.magnoliaswitch.front.loop.Channels;
import org.magnoliaswitch.front.relay.RelayConnector;
import org.magnoliaswitch.front.version.HeaderNames;

/**
 * One HTTP/1.1 connection to a backend server, which carries one exchange at a time.
 *
 * <p>A response is accepted only if it belongs to the pending request, see {@link ResponseMatcher}.
 * A late one to an earlier request is skipped, and the connection is closed after the exchange. One
 * whose request is not known ends the exchange. Bytes that arrive without a pending request close
 * the connection at once, whether or not they complete a message.
 */
public final class ServerConnection extends ChannelInboundHandlerAdapter {
  /** Size limit of the body of a response, which is held in memory. */
  private static final int MAX_BODY_BYTES = 8 << 20;

  /** Limit of what a server may send in one exchange, whatever of it is skipped or framing. */
  private static final long MAX_EXCHANGE_BYTES = 2L * MAX_BODY_BYTES;

  /** Size below which a part of a body costs more to decode than to receive. */
  private static final int SMALL_PART_BYTES = 64;

  /** Limit of the small parts of a body, which would otherwise keep the event loop busy. */
  private static final int MAX_SMALL_PARTS = 20_000;

  /** Limit of informational responses and of responses to other requests in one exchange. */
  private static final int MAX_SKIPPED_RESPONSES = 16;

  /** The pool that a connection belongs to. */
  interface Owner {
    /** Called when the connection can carry another exchange. */
    void released(ServerConnection connection);

    /** Called when the connection cannot be used any more. */
    void closed(ServerConnection connection);

    /** Called when the server sent something else than the response to the pending request. */
    void unmatched(ServerConnection connection, UnmatchedBytes bytes);
  }

  private final Channel channel;
  private final Owner owner;
  private final Clocks clocks;
  private final ResponseMatcher matcher;
  private final Optional<InetSocketAddress> relay;
  private final BodyBuffer body;
  private final StatusLineScanner skippedBody = new StatusLineScanner();
  private @Nullable PendingRequest pending;
  private @Nullable HttpResponse head;
  private boolean skipping;
  private int skipped;
  private int smallParts;
  private long exchangeBytes;
  private boolean closed;
  private boolean closeAnnounced;
  private boolean releasePending;
  private final long openedNanos;
  private int exchanges;
  private long idleSinceNanos;
  private long keepAliveNanos = Long.MAX_VALUE;

  /** The pending request and the listener of its reply. */
  private record PendingRequest(
      Optional<String> requestId,
      boolean headRequest,
      ChannelFuture written,
      ReplyListener listener) {}

  ServerConnection(
      Channel channel,
      Owner owner,
      Clocks clocks,
      HeaderNames names,
      BodyMemory memory,
      Optional<InetSocketAddress> relay) {
    this.body = new BodyBuffer(memory);
    this.relay = relay;
    this.channel = channel;
    this.owner = owner;
    this.clocks = clocks;
    this.matcher = new ResponseMatcher(names);
    this.openedNanos = clocks.nanos();
    this.idleSinceNanos = openedNanos;
  }

  /**
   * Writes a request. The listener is called at most once with the reply, and not after {@link
   * #abandon}.
   *
   * @param requestId id that the response must echo; absent for health checks
   */
  public void send(FullHttpRequest request, Optional<String> requestId, ReplyListener listener) {
    if (pending != null) {
      throw new IllegalStateException("an exchange is already in progress on this connection");
    }
    skipped = 0;
    smallParts = 0;
    exchangeBytes = 0;
    exchanges++;
    matcher.sent(requestId);
    boolean headRequest = HttpMethod.HEAD.equals(request.method());
    ChannelFuture written = channel.writeAndFlush(request);
    pending = new PendingRequest(requestId, headRequest, written, listener);
    if (closed) {
      finish(new ServerReply.Broken("closed"));
    }
  }

  /** Whether the pending request is a HEAD, whose response has no body despite its headers. */
  boolean headPending() {
    return pending != null && pending.headRequest();
  }

  /** Whether bytes that arrive now can belong to the response of a pending request. */
  boolean expectsResponse() {
    return pending != null && !releasePending;
  }

  /** Records that bytes were decoded; a server that sends without end is cut off. */
  void decoded(int bytes) {
    exchangeBytes += bytes;
    if (exchangeBytes > MAX_EXCHANGE_BYTES) {
      fail("endless");
    }
  }

  /** Closes the connection, since nothing that follows on it can be matched to a request. */
  void unsolicitedBytes() {
    if (!closed) {
      owner.unmatched(
          this, new UnmatchedBytes(UnmatchedBytes.Kind.UNSOLICITED, matcher.lastId(), "", 0));
    }
    releasePending = false;
    close();
  }

  /** Whether the connection may carry a request with the id; empty for a health check. */
  boolean mayCarry(Optional<String> requestId) {
    return matcher.mayCarry(requestId);
  }

  /** Closes the connection after the next exchange, whose response cannot be told from others. */
  public void closeAfterExchange() {
    closeAnnounced = true;
  }

  /** Number of exchanges begun on the connection, including a pending one. */
  public int exchanges() {
    return exchanges;
  }

  /** Time for which the connection has been open. */
  public long ageNanos() {
    return clocks.nanos() - openedNanos;
  }

  /** The instance through which the connection leads; empty if it is a direct one. */
  public Optional<InetSocketAddress> relay() {
    return relay;
  }

  /** Closes the connection without calling the listener of a pending exchange. */
  public void abandon() {
    pending = null;
    close();
  }

  /**
   * Whether the connection is open and has been idle for less than the limit and the keep-alive.
   */
  public boolean usable(long nowNanos, long maxIdleNanos) {
    long idle = nowNanos - idleSinceNanos;
    return !closed && channel.isActive() && idle < Math.min(maxIdleNanos, keepAliveNanos);
  }

  /** Time for which the connection has been idle. */
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
    if (releasePending) {
      releasePending = false;
      release();
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof RelayConnector.CloseAnnounced) {
      closeAnnounced = true;
      if (pending == null && !releasePending) {
        close();
      }
    } else if (event instanceof ChannelInputShutdownEvent) {
      fail("closed");
    }
  }

  /** Ends a pending exchange whose connection ended without the end of the server's output. */
  void cutOff() {
    fail("cut_off");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail(cause instanceof IOException ? "reset" : "malformed");
  }

  private void read(HttpObject message) {
    if (closed) {
      return;
    }
    if (message.decoderResult().isFailure()) {
      if (message.decoderResult().cause() instanceof JoinedHeadsException
          && message instanceof HttpResponse response) {
        reportUnmatched(UnmatchedBytes.Kind.JOINED_HEADS, response);
      }
      fail("malformed");
      return;
    }
    if (!expectsResponse()) {
      unsolicitedBytes();
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
      skip();
      return;
    }
    switch (matcher.match(response)) {
      case PENDING -> accept(response);
      case EARLIER -> {
        reportUnmatched(UnmatchedBytes.Kind.OTHER_REQUEST, response);
        skip();
      }
      case UNKNOWN -> {
        boolean identified = !matcher.echoedId(response).isEmpty();
        reportUnmatched(
            identified ? UnmatchedBytes.Kind.UNKNOWN_ID : UnmatchedBytes.Kind.WITHOUT_ID, response);
        fail("unidentified");
      }
    }
  }

  private void accept(HttpResponse response) {
    skipping = false;
    head = response;
    if (!headPending()) {
      expectBody(response);
    }
  }

  private void skip() {
    skipping = true;
    skippedBody.reset();
    head = null;
    if (++skipped > MAX_SKIPPED_RESPONSES) {
      fail("endless");
    }
  }

  private void reportUnmatched(UnmatchedBytes.Kind kind, HttpResponse response) {
    owner.unmatched(
        this,
        new UnmatchedBytes(
            kind, matcher.lastId(), matcher.echoedId(response), response.status().code()));
  }

  private void expectBody(HttpResponse response) {
    long length = HttpUtil.getContentLength(response, 0L);
    if (length > MAX_BODY_BYTES) {
      fail("too_large");
    } else if (!body.expect((int) length)) {
      fail("memory");
    }
  }

  private void readContent(HttpContent content) {
    boolean small = content.content().readableBytes() < SMALL_PART_BYTES;
    if (small && ++smallParts > MAX_SMALL_PARTS) {
      fail("endless");
      return;
    }
    HttpResponse response = head;
    if (skipping && content.content().forEachByte(next -> !skippedBody.endsWith(next)) >= 0) {
      // The skipped response broke off, and what continues it may answer the pending request.
      fail("unidentified");
    }
    if (skipping || response == null) {
      return;
    }
    if (body.length() + content.content().readableBytes() > MAX_BODY_BYTES) {
      fail("too_large");
      return;
    }
    boolean last = content instanceof LastHttpContent;
    if (!body.append(content.content()) || (last && !body.trim())) {
      fail("memory");
    } else if (last) {
      complete(response);
    }
  }

  private void complete(HttpResponse response) {
    byte[] bytes = body.takeUncounted();
    PendingRequest finished = pending;
    if (finished == null) {
      return;
    }
    // If the response arrived before the request was fully written, the server would read the rest
    // of the request as a new one.
    boolean requestIncomplete = !finished.written().isDone();
    boolean delimited =
        HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
    // A late copy of a response to HEAD would have a length, but no body.
    boolean keepAlive = HttpUtil.isKeepAlive(response) && delimited && !finished.headRequest();
    keepAliveNanos = KeepAliveTimeout.nanos(response);
    boolean inSync = !requestIncomplete && matcher.inSyncAfter(response);
    if (!inSync || closeAnnounced || !keepAlive || !channel.isActive()) {
      close();
    } else {
      releasePending = true;
    }
    finish(new ServerReply.Complete(response.status(), response.headers(), bytes));
  }

  private void finish(ServerReply reply) {
    PendingRequest finished = pending;
    pending = null;
    head = null;
    skipping = false;
    if (finished != null) {
      finished.listener().ended(reply);
    }
  }

  private void release() {
    if (closeAnnounced) {
      close();
    } else if (!closed) {
      idleSinceNanos = clocks.nanos();
      owner.released(this);
    }
  }

  private void fail(String reason) {
    close();
    finish(new ServerReply.Broken(reason));
  }

  private void close() {
    if (!closed) {
      closed = true;
      body.discard();
      Channels.close(channel);
      owner.closed(this);
    }
  }
}
