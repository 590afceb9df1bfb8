package org.magnoliaswitch.front.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.front.loop.Channels;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.version.ServerList;

/**
 * Receives the updates of one other instance, and reconnects when they stop arriving. Runs on the
 * control loop.
 */
public final class PeerSubscription {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Size limit of a message in either direction. */
  static final int MAX_MESSAGE_BYTES = 4 << 20;

  private static final int LENGTH_BYTES = 4;
  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final long CHECK_MILLIS = 500;

  /** Time without incoming bytes after which a connection counts as silent: four heartbeats. */
  private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

  /**
   * Age above which a peer's state is stale; a peer that can read the platform, or receives updates
   * from an instance that can, stays below it.
   */
  private static final long STALE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

  /** Receives the peer's updates together with its complete server list. */
  @FunctionalInterface
  public interface Listener {
    /**
     * Called for each update of the peer.
     *
     * @param update the message
     * @param servers the peer's complete server list after the update
     */
    void received(PeerUpdate update, ServerList servers);

    /** Called when the connection is lost; the next update comes on another one. */
    default void disconnected() {}
  }

  private final Loop loop;
  private final Clocks clocks;
  private final InetSocketAddress peer;
  private final Listener listener;
  private final Supplier<List<CrashReport>> crashReports;
  private final Supplier<HeldConfiguration> held;
  private @Nullable Channel channel;
  private @Nullable HeldConfiguration acknowledged;
  private long lastUpdate;
  private long peerConfirmedNanos;
  private long peerVersion;
  private long receivingSinceNanos;
  private ServerList servers = ServerList.EMPTY;
  private boolean connecting;
  private boolean receiving;
  private long lastReceivedNanos;

  /**
   * Creates a subscription that is not started yet.
   *
   * @param crashReports crash reports to send to the peer once it is connected
   * @param held the configuration that this instance holds; its {@code lastUpdate} is ignored,
   *     since this class keeps it for each connection
   */
  public PeerSubscription(
      Loop loop,
      Clocks clocks,
      InetSocketAddress peer,
      Listener listener,
      Supplier<List<CrashReport>> crashReports,
      Supplier<HeldConfiguration> held) {
    this.crashReports = crashReports;
    this.held = held;
    this.loop = loop;
    this.clocks = clocks;
    this.peer = peer;
    this.listener = listener;
  }

  /** Connects to the peer, and reconnects from then on whenever the connection is lost. */
  public void start() {
    loop.execute(this::check);
    loop.everyMillis(CHECK_MILLIS, this::check);
  }

  /** Whether updates arrive; false from the loss of a connection to the next update. */
  public boolean receiving() {
    return receiving;
  }

  /**
   * Sends crash reports to the peer, which publishes them to all of its listeners. The connection
   * to a peer that does not read is closed, and the peer gets all reports once it is connected
   * again.
   */
  public void report(List<CrashReport> crashes) {
    if (channel == null || crashes.isEmpty()) {
      return;
    }
    if (channel.isWritable()) {
      send(new ListenerUpdate(crashes, Optional.of(currentlyHeld()), Optional.empty()));
    } else {
      Channels.close(channel);
    }
  }

  /** Sends the configuration version that this instance holds, unless the peer has it already. */
  public void acknowledge() {
    HeldConfiguration current = currentlyHeld();
    if (channel != null && channel.isWritable() && !current.equals(acknowledged)) {
      send(new ListenerUpdate(List.of(), Optional.of(current), Optional.empty()));
    }
  }

  /** Whether the peer is connected and reads what it is sent. */
  public boolean writable() {
    return channel != null && channel.isWritable();
  }

  /**
   * Sends a report about teams. May be called only after the peer has told about teams on this
   * connection: an earlier release could not read the message.
   */
  public void report(TeamReport report) {
    send(
        new ListenerUpdate(
            List.of(), Optional.of(currentlyHeld()), Optional.empty(), Optional.of(report)));
  }

  /**
   * Whether the peer's state is stale although this instance has received its updates for longer
   * than {@link #STALE_NANOS}.
   */
  public boolean peerStale() {
    long now = clocks.nanos();
    return receiving
        && now - peerConfirmedNanos > STALE_NANOS
        && now - receivingSinceNanos > STALE_NANOS;
  }

  /**
   * Forwards the state that this instance has read from the platform itself.
   *
   * @param updateFactory creates the update, given the version of the peer's configuration
   */
  public void forward(LongFunction<PeerUpdate> updateFactory) {
    if (channel != null && channel.isWritable()) {
      PeerUpdate update = updateFactory.apply(peerVersion);
      send(new ListenerUpdate(List.of(), Optional.of(currentlyHeld()), Optional.of(update)));
    }
  }

  private HeldConfiguration currentlyHeld() {
    HeldConfiguration current = held.get();
    return new HeldConfiguration(current.version(), lastUpdate, current.delivery());
  }

  private void send(ListenerUpdate update) {
    acknowledged = update.held().orElse(null);
    if (channel != null) {
      Channels.write(channel, Unpooled.wrappedBuffer(ListenerUpdateCodec.encode(update)));
    }
  }

  private void check() {
    boolean silent = clocks.nanos() - lastReceivedNanos > SILENT_NANOS;
    if (channel != null && (silent || !channel.isActive())) {
      Channels.close(channel);
      channel = null;
      listener.disconnected();
      if (receiving) {
        receiving = false;
        logger.atInfo().log("event=peer_lost peer=%s silent=%s", peer, silent);
      }
    }
    if (channel == null && !connecting) {
      connect();
    }
  }

  private void connect() {
    connecting = true;
    ChannelFuture future = Channels.connect(loop, peer, CONNECT_TIMEOUT_MILLIS, new Pipeline());
    var unused =
        future.addListener(
            done -> {
              connecting = false;
              if (done.isSuccess()) {
                channel = future.channel();
                servers = ServerList.EMPTY;
                lastUpdate = 0;
                lastReceivedNanos = clocks.nanos();
                send(
                    new ListenerUpdate(
                        crashReports.get(), Optional.of(currentlyHeld()), Optional.empty()));
              }
            });
  }

  private void received(byte[] bytes) {
    try {
      PeerUpdate update = PeerUpdateCodec.decode(bytes);
      peerConfirmedNanos = clocks.nanos() - TimeUnit.MILLISECONDS.toNanos(update.ageMillis());
      peerVersion = update.configuration().map(ConfigurationUpdate::version).orElse(0L);
      servers = update.servers().applyTo(servers);
      update
          .configuration()
          .flatMap(ConfigurationUpdate::update)
          .ifPresent(routeUpdate -> lastUpdate = routeUpdate.version());
      if (!receiving) {
        receiving = true;
        receivingSinceNanos = lastReceivedNanos;
        logger.atInfo().log("event=peer_heard peer=%s age_ms=%d", peer, update.ageMillis());
      }
      listener.received(update, servers);
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("event=peer_malformed peer=%s", peer);
      if (channel != null) {
        Channels.close(channel);
      }
    }
  }

  private final class Pipeline extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel newChannel) {
      newChannel
          .pipeline()
          .addLast(
              new ActivityRecorder(),
              new LengthFieldBasedFrameDecoder(MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
              new LengthFieldPrepender(LENGTH_BYTES));
      newChannel.pipeline().addLast(new UpdateHandler());
    }
  }

  /**
   * Records the arrival of bytes rather than of whole messages, because a large message on a slow
   * link takes longer than {@link #SILENT_NANOS}.
   */
  private final class ActivityRecorder extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      lastReceivedNanos = clocks.nanos();
      context.fireChannelRead(message);
    }
  }

  private final class UpdateHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf message) {
      byte[] bytes = new byte[message.readableBytes()];
      message.readBytes(bytes);
      received(bytes);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Channels.close(context);
    }
  }
}
