package org.magnoliaswitch.front.relay;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.loop.Channels;
import org.magnoliaswitch.front.loop.Loop;

/**
 * Opens connections to backend servers for other instances that have lost their path to them, and
 * passes the bytes on unchanged. It opens them directly only, so a connection crosses one other
 * instance at most. As a seed it also tells instances of each other. Runs on one event loop.
 */
public final class RelayListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Connections relayed at a time: two descriptors each, a quarter of those of an instance. */
  private static final int MAX_RELAYED = 400;

  private static final int CONNECT_TIMEOUT_MILLIS = 250;

  /** Bytes that wait for one side before the other one is not read any more. */
  private static final WriteBufferWaterMark BUFFER = new WriteBufferWaterMark(16 << 10, 32 << 10);

  /**
   * A backend server as this instance may reach it.
   *
   * @param service name of its service
   */
  public record Target(InetSocketAddress address, String service) {}

  /** Finds the servers to which connections may be opened for others. */
  @FunctionalInterface
  public interface Targets {
    /**
     * Returns a server; empty if it is not known, gets no new requests, or belongs to a service
     * that this instance does not reach either.
     */
    Optional<Target> find(String serverId);
  }

  private final Loop loop;
  private final Clocks clocks;
  private final Targets targets;
  private final Consumer<InetSocketAddress> joined;
  private final RelayRegistry registry;
  private final Set<Relayed> relayed = new HashSet<>();
  private int opening;
  private long opened;
  private boolean stopping;

  /**
   * Creates a listener that is not bound yet.
   *
   * @param joined receives the address of each instance that makes itself known
   */
  public RelayListener(
      Loop loop,
      Clocks clocks,
      Targets targets,
      RandomGenerator random,
      Consumer<InetSocketAddress> joined) {
    this.joined = joined;
    this.loop = loop;
    this.clocks = clocks;
    this.targets = targets;
    this.registry = new RelayRegistry(random);
  }

  /** Binds the address that other instances connect to. */
  public void bind(InetSocketAddress address) {
    new ServerBootstrap()
        .group(loop.events())
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.SO_KEEPALIVE, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                RelayPipeline.install(channel, new Request(channel));
              }
            })
        .bind(address)
        .syncUninterruptibly();
  }

  /** Number of connections that are relayed now. */
  public int size() {
    return relayed.size();
  }

  /** Number of connections that have been relayed since the start. */
  public long opened() {
    return opened;
  }

  /** Opens no further connections, and lets the open ones end after the requests on them. */
  public void startDraining() {
    stopping = true;
    Set.copyOf(relayed).forEach(Relayed::announceClose);
  }

  /** Lets the connections to the servers of a service end after the requests on them. */
  public void retire(String service) {
    Set.copyOf(relayed).stream()
        .filter(connection -> connection.target.service().equals(service))
        .forEach(Relayed::announceClose);
  }

  private void open(Channel from, RelayMessage.Open request) {
    Optional<Target> target = targets.find(request.server());
    if (target.isEmpty() || stopping || relayed.size() + opening >= MAX_RELAYED) {
      refuse(from, RelayMessage.Status.UNAVAILABLE);
      return;
    }
    opening++;
    // Nothing is read until both sides are connected.
    from.config().setAutoRead(false);
    Relayed connection = new Relayed(from, target.get(), request.signals());
    ChannelFuture future =
        Channels.connectToServer(
            loop, target.get().address(), CONNECT_TIMEOUT_MILLIS, new Unread());
    var unused =
        future.addListener(
            done -> {
              opening--;
              if (done.isSuccess()) {
                connection.start(future.channel());
              } else {
                refuse(from, status(done.cause()));
              }
            });
  }

  private static RelayMessage.Status status(Throwable cause) {
    return cause instanceof ConnectTimeoutException
        ? RelayMessage.Status.UNREACHABLE
        : RelayMessage.Status.REFUSED;
  }

  private static void refuse(Channel from, RelayMessage.Status status) {
    byte[] answer = new RelayMessage.Opened(status, true).encode();
    Channels.writeThen(from, Unpooled.wrappedBuffer(answer), () -> Channels.close(from));
  }

  private void join(Channel from, RelayMessage.Join request) {
    joined.accept(request.relay());
    List<InetSocketAddress> others = registry.join(request.relay(), clocks.nanos());
    byte[] answer = new RelayMessage.Known(others).encode();
    Channels.writeThen(from, Unpooled.wrappedBuffer(answer), () -> Channels.close(from));
  }

  /** Handles the first message of another instance. */
  private final class Request extends SimpleChannelInboundHandler<ByteBuf> {
    private final Channel from;

    Request(Channel from) {
      this.from = from;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
      byte[] bytes = new byte[frame.readableBytes()];
      frame.readBytes(bytes);
      try {
        switch (RelayMessage.decode(bytes)) {
          case RelayMessage.Open open -> open(from, open);
          case RelayMessage.Join join -> join(from, join);
          case RelayMessage.Opened answer -> Channels.close(from);
          case RelayMessage.Known answer -> Channels.close(from);
        }
      } catch (IOException e) {
        logger.atWarning().withCause(e).log(
            "event=relay_request_malformed peer=%s", from.remoteAddress());
        Channels.close(from);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Channels.close(context);
    }
  }

  /** Reads nothing of a server until the other side is connected, too. */
  private static final class Unread extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      channel.config().setAutoRead(false);
    }
  }

  /** A relayed connection: one to another instance and one to a server. */
  private final class Relayed {
    private final Channel instance;
    private final Target target;
    private final boolean signals;

    Relayed(Channel instance, Target target, boolean signals) {
      this.instance = instance;
      this.target = target;
      this.signals = signals;
    }

    void start(Channel connected) {
      if (!instance.isActive()) {
        Channels.close(connected);
        return;
      }
      relayed.add(this);
      opened++;
      instance.config().setWriteBufferWaterMark(BUFFER);
      connected.config().setWriteBufferWaterMark(BUFFER);
      instance.pipeline().replace(Request.class, null, new InstanceSide(connected));
      connected.pipeline().addLast(new ServerSide());
      RelayPipeline.write(instance, new RelayMessage.Opened(RelayMessage.Status.OPENED, true));
      instance.config().setAutoRead(true);
      connected.config().setAutoRead(true);
      if (stopping) {
        announceClose();
      }
    }

    void announceClose() {
      RelayPipeline.write(instance, RelaySignal.CLOSE_ANNOUNCED, signals);
    }

    /** Passes the bytes of one side on to the other one, no faster than it takes them. */
    private abstract static class Side extends ChannelInboundHandlerAdapter {
      final Channel other;

      Side(Channel other) {
        this.other = other;
      }

      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        Channels.write(other, message);
        if (!other.isWritable()) {
          context.channel().config().setAutoRead(false);
        }
      }

      @Override
      public void channelWritabilityChanged(ChannelHandlerContext context) {
        other.config().setAutoRead(context.channel().isWritable());
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Channels.close(context);
      }
    }

    /** The side of the other instance, which ends it when it needs the connection no longer. */
    private final class InstanceSide extends Side {
      InstanceSide(Channel server) {
        super(server);
      }

      @Override
      public void channelInactive(ChannelHandlerContext context) {
        relayed.remove(Relayed.this);
        Channels.close(other);
      }
    }

    /** The side of the server, whose end is told to the other instance as what it was. */
    private final class ServerSide extends Side {
      private boolean ended;

      ServerSide() {
        super(instance);
      }

      @Override
      public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
          ended = true;
          RelayPipeline.write(instance, RelaySignal.END_OF_OUTPUT, signals);
          Channels.close(context);
        }
      }

      @Override
      public void channelInactive(ChannelHandlerContext context) {
        // What was read before the end must still arrive; until then the connection counts as open,
        // so that the process does not exit.
        RelayPipeline.afterWrites(instance, this::closeInstance);
      }

      private void closeInstance() {
        if (ended || signals) {
          Channels.close(instance);
        } else {
          Channels.reset(instance);
        }
      }
    }
  }
}
