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

/** Accepts the connections of callers; all connections run on one event loop. */
public final class CallerListener {
  /** Large enough that all callers can reconnect within a minute without a full accept queue. */
  private static final int BACKLOG = 1024;

  /**
   * Limit for the bodies of all unanswered requests, in bytes: a quarter of the heap, since a full
   * heap would crash the process with all its requests.
   */
  private static final long MAX_TOTAL_BODY_BYTES = 32 << 20;

  /** Limit for the responses that wait for their callers, in bytes: another quarter of the heap. */
  private static final long MAX_TOTAL_RESPONSE_BYTES = 32 << 20;

  private static final long SWEEP_MILLIS = 500;

  private final Loop loop;
  private final Clocks clocks;
  private final RequestHandler handler;
  private final Supplier<CallerLimits> limits;
  private final Set<CallerConnection> connections = new HashSet<>();
  private final BodyMemory memory = new BodyMemory(MAX_TOTAL_BODY_BYTES);
  private final ResponseBacklog responses = new ResponseBacklog(MAX_TOTAL_RESPONSE_BYTES);
  private @Nullable Channel listeningChannel;
  private boolean stopping;

  public CallerListener(
      Loop loop, Clocks clocks, RequestHandler handler, Supplier<CallerLimits> limits) {
    this.loop = loop;
    this.clocks = clocks;
    this.handler = handler;
    this.limits = limits;
  }

  /** Binds the address; callers can connect when this method returns. */
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
    listeningChannel = bootstrap.bind(address).syncUninterruptibly().channel();
    loop.everyMillis(SWEEP_MILLIS, this::sweep);
  }

  /** Address that callers connect to, with the actual port. */
  public InetSocketAddress address() {
    if (listeningChannel == null) {
      throw new IllegalStateException("not bound");
    }
    return (InetSocketAddress) listeningChannel.localAddress();
  }

  /** Makes each further response close its connection; must run on the event loop. */
  public void startDraining() {
    stopping = true;
  }

  /** Stops accepting connections and closes idle ones; must run on the event loop. */
  public void stopAccepting() {
    if (listeningChannel != null) {
      Channels.close(listeningChannel);
    }
    Set.copyOf(connections).forEach(CallerConnection::closeIfIdle);
  }

  /** Number of busy connections; must run on the event loop. */
  public int busy() {
    return (int) connections.stream().filter(CallerConnection::busy).count();
  }

  /** Bytes of responses that have not been sent yet; must run on the event loop. */
  public long unsentBytes() {
    return connections.stream().mapToLong(CallerConnection::unsentBytes).sum();
  }

  /** Number of open connections; must run on the event loop. */
  public int size() {
    return connections.size();
  }

  /** Memory for the bodies of requests that are received or not answered yet. */
  BodyMemory memory() {
    return memory;
  }

  /** Memory for the responses that wait for their callers. */
  ResponseBacklog responses() {
    return responses;
  }

  /** Bytes of the responses that wait for their callers; any thread may ask. */
  public long waitingResponseBytes() {
    return responses.heldBytes();
  }

  Loop loop() {
    return loop;
  }

  /** Limits of the configuration in force. */
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

  /** Installs the codec and the connection handler on a channel. */
  private final class Pipeline extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      CallerLimits current = limits.get();
      CallerConnection connection =
          new CallerConnection(channel, handler, CallerListener.this, clocks);
      connections.add(connection);
      channel.pipeline().addLast(new InboundBytesHandler(connection));
      channel.pipeline().addLast(new CallerRequestDecoder(current), new HttpResponseEncoder());
      channel.pipeline().addLast(connection);
    }
  }

  /**
   * Notifies a connection of bytes before the decoder buffers them, and applies the limits in force
   * when a request starts. Connections outlive configurations, and outdated limits would reject
   * valid requests. A request head whose beginning arrived in one read with the end of the previous
   * request does not count as started until further bytes have arrived ({@link
   * CallerConnection#busy}).
   */
  private final class InboundBytesHandler extends ChannelInboundHandlerAdapter {
    private final CallerConnection connection;

    InboundBytesHandler(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (!connection.busy()) {
        updateDecoder(context.pipeline());
      }
      connection.bytesReceived();
      context.fireChannelRead(message);
    }

    private void updateDecoder(ChannelPipeline pipeline) {
      CallerRequestDecoder decoder = pipeline.get(CallerRequestDecoder.class);
      if (decoder.maxHeaderBytes() != limits.get().maxHeaderBytes()) {
        pipeline.replace(decoder, null, new CallerRequestDecoder(limits.get()));
      }
    }
  }
}
