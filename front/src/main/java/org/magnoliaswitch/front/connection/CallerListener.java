package org.magnoliaswitch.front.connection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.loop.Channels;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.version.CallerLimits;

/** Accepts callers' connections; all of them run on one event loop. */
public final class CallerListener {
  /** Callers that all come within one minute must not meet a full accept queue. */
  private static final int BACKLOG = 1024;

  /**
   * Memory for bodies of requests that are not answered yet, in bytes. A body is held up to three
   * times, so this is a quarter of the heap; a full heap would end the process and all its
   * requests.
   */
  private static final long MAX_HELD_BODY_BYTES = 32 << 20;

  private static final long SWEEP_MILLIS = 500;

  private final Loop loop;
  private final Clocks clocks;
  private final RequestHandler handler;
  private final Supplier<CallerLimits> limits;
  private final Set<CallerConnection> connections = new HashSet<>();
  private @Nullable Channel server;
  private long heldBodyBytes;
  private boolean stopping;

  public CallerListener(
      Loop loop, Clocks clocks, RequestHandler handler, Supplier<CallerLimits> limits) {
    this.loop = loop;
    this.clocks = clocks;
    this.handler = handler;
    this.limits = limits;
  }

  /** Binds the address and returns when callers can connect. */
  public void bind(InetSocketAddress address) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop.events())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childHandler(new Pipeline());
    server = bootstrap.bind(address).syncUninterruptibly().channel();
    loop.everyMillis(SWEEP_MILLIS, this::sweep);
  }

  /** Address that callers connect to. */
  public InetSocketAddress address() {
    if (server == null) {
      throw new IllegalStateException("not bound");
    }
    return (InetSocketAddress) server.localAddress();
  }

  /** From now on each answer closes its connection; runs on the event loop. */
  public void startDraining() {
    stopping = true;
  }

  /** Takes no further connections and closes idle ones; runs on the event loop. */
  public void stopAccepting() {
    if (server != null) {
      Channels.close(server);
    }
    Set.copyOf(connections).forEach(CallerConnection::closeIfIdle);
  }

  /** Connections with a request that is read, run or answered; runs on the event loop. */
  public int busy() {
    return (int) connections.stream().filter(CallerConnection::busy).count();
  }

  /** Open connections; runs on the event loop. */
  public int size() {
    return connections.size();
  }

  /** Takes memory for a part of a request's body, if there is any left. */
  boolean reserve(int bytes) {
    if (heldBodyBytes + bytes > MAX_HELD_BODY_BYTES) {
      return false;
    }
    heldBodyBytes += bytes;
    return true;
  }

  /** Gives back memory of a body. */
  void release(int bytes) {
    heldBodyBytes -= bytes;
  }

  Loop loop() {
    return loop;
  }

  /** Limits in force now. */
  CallerLimits limits() {
    return limits.get();
  }

  boolean stopping() {
    return stopping;
  }

  void closed(CallerConnection connection) {
    connections.remove(connection);
  }

  private void sweep() {
    long now = clocks.nanos();
    List.copyOf(connections).forEach(connection -> connection.sweep(now));
  }

  /** Puts the codec and the connection on a channel. */
  private final class Pipeline extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      CallerLimits current = limits.get();
      CallerConnection connection =
          new CallerConnection(channel, handler, CallerListener.this, clocks);
      connections.add(connection);
      channel.pipeline().addLast(new ArrivalNotice(connection));
      channel.pipeline().addLast(new CallerRequestDecoder(current), new HttpResponseEncoder());
      channel.pipeline().addLast(connection);
    }
  }

  /**
   * Tells a connection of bytes before the decoder holds them back, and gives a request the limits
   * in force when it begins: connections outlive configurations, and by older limits a proper
   * request would be refused.
   */
  private final class ArrivalNotice extends ChannelInboundHandlerAdapter {
    private final CallerConnection connection;

    ArrivalNotice(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (!connection.busy()) {
        renewDecoder(context.pipeline());
      }
      connection.bytesArrived();
      context.fireChannelRead(message);
    }

    private void renewDecoder(ChannelPipeline pipeline) {
      CallerRequestDecoder decoder = pipeline.get(CallerRequestDecoder.class);
      if (decoder.maxHeaderBytes() != limits.get().maxHeaderBytes()) {
        pipeline.replace(decoder, null, new CallerRequestDecoder(limits.get()));
      }
    }
  }
}
