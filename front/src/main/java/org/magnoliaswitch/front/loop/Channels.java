package org.magnoliaswitch.front.loop;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundInvoker;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import jdk.net.ExtendedSocketOptions;

/**
 * Channel operations. The caller of {@link #connect} must handle its future. The futures of writes
 * and closes are ignored: a failed write or close closes the channel, and its handler is notified
 * of that.
 */
public final class Channels {
  /** Seconds without traffic before the kernel sends the first keep-alive probe. */
  private static final int KEEP_ALIVE_IDLE_SECONDS = 2;

  private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
  private static final int KEEP_ALIVE_PROBES = 2;

  private Channels() {}

  /** Opens a connection whose handlers the given initializer installs. */
  public static ChannelFuture connect(
      Loop loop, InetSocketAddress address, int timeoutMillis, ChannelHandler initializer) {
    return new Bootstrap()
        .group(loop.events())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
        .handler(initializer)
        .connect(address);
  }

  /**
   * Opens a connection that the kernel closes when the other side has been silent for a few
   * seconds. TCP_USER_TIMEOUT must stay unset, because it would replace the number of keep-alive
   * probes.
   */
  public static ChannelFuture connectWithKeepAlive(
      Loop loop, InetSocketAddress address, int timeoutMillis, ChannelHandler initializer) {
    return bootstrapWithKeepAlive(loop, timeoutMillis, initializer).connect(address);
  }

  /**
   * Opens a connection like {@link #connectWithKeepAlive} whose handlers are told of the end of the
   * other side's output by a {@link io.netty.channel.socket.ChannelInputShutdownEvent}, and must
   * then close it. A connection that becomes inactive without that event was cut off.
   */
  public static ChannelFuture connectToServer(
      Loop loop, InetSocketAddress address, int timeoutMillis, ChannelHandler initializer) {
    return bootstrapWithKeepAlive(loop, timeoutMillis, initializer)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .connect(address);
  }

  private static Bootstrap bootstrapWithKeepAlive(
      Loop loop, int timeoutMillis, ChannelHandler initializer) {
    return new Bootstrap()
        .group(loop.events())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
        .option(
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
            KEEP_ALIVE_INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
        .handler(initializer);
  }

  /** Closes a connection with a reset, so that the other side does not take it for a proper end. */
  public static void reset(Channel channel) {
    if (channel.isActive()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      close(channel);
    }
  }

  public static void close(ChannelOutboundInvoker channel) {
    var unused = channel.close();
  }

  public static void write(ChannelOutboundInvoker channel, Object message) {
    var unused = channel.writeAndFlush(message);
  }

  /** Writes and flushes a message, then runs an action whether or not the write succeeded. */
  public static void writeThen(Channel channel, Object message, Runnable action) {
    var unused = channel.writeAndFlush(message).addListener(done -> action.run());
  }
}
