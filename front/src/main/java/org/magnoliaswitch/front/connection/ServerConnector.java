package org.magnoliaswitch.front.connection;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.version.HeaderNames;

/** Opens connections to backend servers. */
public final class ServerConnector {
  /**
   * A server that does not accept a connection within this time is skipped; since nothing has been
   * written yet, another server can be tried safely.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 250;

  /** Seconds without traffic before the kernel sends the first keep-alive probe. */
  private static final int KEEP_ALIVE_IDLE_SECONDS = 2;

  private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
  private static final int KEEP_ALIVE_PROBES = 2;

  private final Loop loop;
  private final Clocks clocks;
  private final HeaderNames names;

  public ServerConnector(Loop loop, Clocks clocks, HeaderNames names) {
    this.loop = loop;
    this.clocks = clocks;
    this.names = names;
  }

  /** Opens a connection; exactly one of the callbacks is called. */
  void connect(
      InetSocketAddress address,
      ServerConnection.Owner owner,
      Consumer<ServerConnection> connected,
      Consumer<Throwable> failed) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop.events())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(
                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
            .option(
                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
                KEEP_ALIVE_INTERVAL_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(new Pipeline());
    ChannelFuture future = bootstrap.connect(address);
    var unused =
        future.addListener(
            done -> {
              if (done.isSuccess()) {
                connected.accept(attach(future.channel(), owner));
              } else {
                failed.accept(done.cause());
              }
            });
  }

  /** Whether connecting failed because no process listens at the address. */
  static boolean connectionRefused(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }

  /** Runs a task on the event loop of the connections after a delay. */
  void afterMillis(long millis, Runnable task) {
    loop.afterMillis(millis, task);
  }

  private ServerConnection attach(Channel channel, ServerConnection.Owner owner) {
    ServerConnection connection = new ServerConnection(channel, owner, clocks, names);
    channel.pipeline().get(ResponseDecoder.class).connection = connection;
    channel.pipeline().addLast(connection);
    return connection;
  }

  /** Installs the codec; the connection handler is added once the channel is open. */
  private static final class Pipeline extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      channel.pipeline().addLast(new ResponseDecoder(), new HttpRequestEncoder());
    }
  }

  /** Decodes responses; a response to a HEAD request has no body. */
  private static final class ResponseDecoder extends HttpResponseDecoder {
    private @Nullable ServerConnection connection;

    ResponseDecoder() {
      super(new HttpDecoderConfig().setMaxHeaderSize(64 * 1024).setMaxInitialLineLength(8 * 1024));
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      return (connection != null && connection.headPending())
          || super.isContentAlwaysEmpty(message);
    }
  }
}
