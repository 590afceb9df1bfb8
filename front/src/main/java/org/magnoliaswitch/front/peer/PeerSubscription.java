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
 * Listens to the news of one other instance, and connects again when they stop coming. Runs on the
 * control loop.
 */
public final class PeerSubscription {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longest message of either side. */
  static final int MAX_MESSAGE_BYTES = 4 << 20;

  private static final int LENGTH_BYTES = 4;
  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final long CHECK_MILLIS = 500;

  /** A connection on which nothing comes in for this long is silent: four heartbeats. */
  private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

  /** A peer that can read, or hears of one that does, never knows less than this. */
  private static final long STALE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

  /** Takes news in the form in which they can be believed. */
  @FunctionalInterface
  public interface Listener {
    /**
     * News of a peer.
     *
     * @param news the message
     * @param servers the peer's whole list
     */
    void received(PeerUpdate news, ServerList servers);
  }

  private final Loop loop;
  private final Clocks clocks;
  private final InetSocketAddress peer;
  private final Listener listener;
  private final Supplier<List<CrashReport>> known;
  private final Supplier<HeldConfiguration> held;
  private @Nullable Channel channel;
  private @Nullable HeldConfiguration acknowledged;
  private long lastUpdate;
  private long peerAsOfNanos;
  private long peerVersion;
  private long receivingSinceNanos;
  private ServerList servers = ServerList.EMPTY;
  private boolean connecting;
  private boolean receiving;
  private long lastReceivedNanos;

  /**
   * Creates one that does not listen yet.
   *
   * @param known what the peer is told of requests under which servers end, once it is connected
   * @param held what this instance has of the configuration, but for the last update
   */
  public PeerSubscription(
      Loop loop,
      Clocks clocks,
      InetSocketAddress peer,
      Listener listener,
      Supplier<List<CrashReport>> known,
      Supplier<HeldConfiguration> held) {
    this.known = known;
    this.held = held;
    this.loop = loop;
    this.clocks = clocks;
    this.peer = peer;
    this.listener = listener;
  }

  /** Begins to listen. */
  public void start() {
    loop.execute(this::check);
    loop.everyMillis(CHECK_MILLIS, this::check);
  }

  /** Whether news have come lately. */
  public boolean receiving() {
    return receiving;
  }

  /**
   * Reports to the peer, which tells all that listen to it. A peer that does not read loses the
   * connection, and gets everything once it is back.
   */
  public void report(List<CrashReport> crashes) {
    if (channel == null || crashes.isEmpty()) {
      return;
    }
    if (channel.isWritable()) {
      send(new ListenerUpdate(crashes, Optional.of(heldNow()), Optional.empty()));
    } else {
      Channels.close(channel);
    }
  }

  /** Tells the peer what this instance has of the configuration, if that is new to it. */
  public void acknowledge() {
    HeldConfiguration now = heldNow();
    if (channel != null && channel.isWritable() && !now.equals(acknowledged)) {
      send(new ListenerUpdate(List.of(), Optional.of(now), Optional.empty()));
    }
  }

  /** Whether the peer has known much less than it could for some time. */
  public boolean peerStale() {
    long now = clocks.nanos();
    return receiving
        && now - peerAsOfNanos > STALE_NANOS
        && now - receivingSinceNanos > STALE_NANOS;
  }

  /**
   * Passes on what this instance has read itself.
   *
   * @param read makes the message, given the version of the peer's configuration
   */
  public void forward(LongFunction<PeerUpdate> read) {
    if (channel != null && channel.isWritable()) {
      PeerUpdate news = read.apply(peerVersion);
      send(new ListenerUpdate(List.of(), Optional.of(heldNow()), Optional.of(news)));
    }
  }

  private HeldConfiguration heldNow() {
    HeldConfiguration own = held.get();
    return new HeldConfiguration(own.version(), lastUpdate, own.delivery());
  }

  private void send(ListenerUpdate news) {
    acknowledged = news.held().orElse(null);
    if (channel != null) {
      Channels.write(channel, Unpooled.wrappedBuffer(ListenerUpdateCodec.encode(news)));
    }
  }

  private void check() {
    boolean silent = clocks.nanos() - lastReceivedNanos > SILENT_NANOS;
    if (channel != null && (silent || !channel.isActive())) {
      Channels.close(channel);
      channel = null;
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
                send(new ListenerUpdate(known.get(), Optional.of(heldNow()), Optional.empty()));
              }
            });
  }

  private void received(byte[] bytes) {
    try {
      PeerUpdate news = PeerUpdateCodec.decode(bytes);
      peerAsOfNanos = clocks.nanos() - TimeUnit.MILLISECONDS.toNanos(news.ageMillis());
      peerVersion = news.configuration().map(ConfigurationUpdate::version).orElse(0L);
      servers = news.servers().applyTo(servers);
      news.configuration()
          .flatMap(ConfigurationUpdate::update)
          .ifPresent(update -> lastUpdate = update.version());
      if (!receiving) {
        receiving = true;
        receivingSinceNanos = lastReceivedNanos;
        logger.atInfo().log("event=peer_heard peer=%s age_ms=%d", peer, news.ageMillis());
      }
      listener.received(news, servers);
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("event=peer_malformed peer=%s", peer);
      if (channel != null) {
        Channels.close(channel);
      }
    }
  }

  private final class Pipeline extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel opened) {
      opened
          .pipeline()
          .addLast(
              new Arrivals(),
              new LengthFieldBasedFrameDecoder(MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
              new LengthFieldPrepender(LENGTH_BYTES));
      opened.pipeline().addLast(new Reader());
    }
  }

  /** Notes that bytes come in: a large message on a narrow link takes longer than silence may. */
  private final class Arrivals extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      lastReceivedNanos = clocks.nanos();
      context.fireChannelRead(message);
    }
  }

  private final class Reader extends SimpleChannelInboundHandler<ByteBuf> {
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
