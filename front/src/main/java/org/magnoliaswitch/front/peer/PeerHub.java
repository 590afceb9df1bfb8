package org.magnoliaswitch.front.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.core.crash.CrashTable;
import org.magnoliaswitch.front.load.InstanceIndex;
import org.magnoliaswitch.front.loop.Channels;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServerList;

/**
 * Tells other instances what this one knows: at once when it changes, and at short intervals so
 * that they know how fresh it is. A listener whose link is busy is told less often, not more. Runs
 * on the control loop.
 */
public final class PeerHub {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Listeners that hear nothing for a few of these look elsewhere. */
  private static final long HEARTBEAT_MILLIS = 400;

  /** A listener that has not said by then what it holds is of an earlier release. */
  private static final long GREETING_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** More than any version: nothing newer is told. */
  private static final long ALL_VERSIONS = Long.MAX_VALUE;

  private static final int LENGTH_BYTES = 4;
  private static final int OWN_PLACE = 0;
  private static final byte[] NO_UPDATE = RouteUpdateCodec.encode(Optional.empty());

  /** Longest message of a listener: as long as one of this instance may be. */
  private static final int MAX_LISTENER_BYTES = PeerSubscription.MAX_MESSAGE_BYTES;

  /**
   * What this instance knows now.
   *
   * @param ageMillis how long ago the oldest part of it was confirmed
   * @param routesAgeMillis how long ago the configuration and the evacuations were
   * @param routes configuration in force
   * @param evacuations the evacuated data centres
   * @param servers servers in force
   * @param crashes requests under which servers end
   */
  public record Snapshot(
      long ageMillis,
      long routesAgeMillis,
      RouteTable routes,
      Evacuations evacuations,
      ServerList servers,
      CrashTable crashes) {}

  private final Loop loop;
  private final Clocks clocks;
  private final Supplier<Snapshot> snapshot;
  private final Consumer<List<CrashReport>> reported;
  private final Consumer<PeerUpdate> forwarded;
  private final Set<Listener> listeners = new HashSet<>();
  private final BitSet taken = new BitSet();
  private final LongAdder bytesSent = new LongAdder();
  private final LongAdder listenersDropped = new LongAdder();
  private final MessageCache messages = new MessageCache();
  private volatile long listenersBehind;

  /**
   * Creates one that nobody listens to yet.
   *
   * @param snapshot what listeners are told
   * @param reported takes what they report
   * @param forwarded takes what one of them has read itself
   */
  public PeerHub(
      Loop loop,
      Clocks clocks,
      Supplier<Snapshot> snapshot,
      Consumer<List<CrashReport>> reported,
      Consumer<PeerUpdate> forwarded) {
    this.loop = loop;
    this.clocks = clocks;
    this.snapshot = snapshot;
    this.reported = reported;
    this.forwarded = forwarded;
    taken.set(OWN_PLACE);
  }

  /** Binds the address that others listen at. */
  public void bind(InetSocketAddress address) {
    new ServerBootstrap()
        .group(loop.events())
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new Pipeline())
        .bind(address)
        .syncUninterruptibly();
    loop.everyMillis(HEARTBEAT_MILLIS, this::publish);
  }

  /** Instances that listen, and this one. */
  public int instances() {
    return listeners.size() + 1;
  }

  /** Bytes told to all listeners since the start. */
  public long bytesSent() {
    return bytesSent.sum();
  }

  /** Listeners that were disconnected because they did not read, since the start. */
  public long listenersDropped() {
    return listenersDropped.sum();
  }

  /** This instance's own place among those that listen to it. */
  public InstanceIndex ownIndex() {
    return placeAt(OWN_PLACE);
  }

  private InstanceIndex placeAt(int index) {
    return new InstanceIndex(index, taken.length());
  }

  /** Tells everyone now. */
  public void publish() {
    publish(List.of());
  }

  /** Tells everyone now, and what is new about requests under which servers end. */
  public void publish(List<CrashReport> crashes) {
    Snapshot now = snapshot.get();
    messages.inForce(now.routes());
    listeners.stream()
        .sorted(Comparator.comparingInt(listener -> listener.updates.rank()))
        .toList()
        .forEach(listener -> listener.send(now, crashes));
    listenersBehind = listeners.stream().filter(listener -> listener.updates.behind()).count();
  }

  /** Listeners that lacked the configuration in force here when all were told last. */
  public long listenersBehind() {
    return listenersBehind;
  }

  private final class Pipeline extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      channel
          .pipeline()
          .addLast(
              new LengthFieldPrepender(LENGTH_BYTES),
              new LengthFieldBasedFrameDecoder(
                  MAX_LISTENER_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
              new Listener(channel));
    }
  }

  /** An instance that listens, and what it has been told. */
  private final class Listener extends SimpleChannelInboundHandler<ByteBuf> {
    private final Channel channel;
    private final UpdateFlow updates = new UpdateFlow();
    private final StallDetector stall = new StallDetector();
    private final long sinceNanos = clocks.nanos();
    private int place = OWN_PLACE;
    private ServerList toldServers = ServerList.EMPTY;
    private boolean missedReports = true;

    /** What was told to a listener of an earlier release. */
    private long toldRoutes;

    Listener(Channel channel) {
      this.channel = channel;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      listeners.add(this);
      // The lowest free one: who starts again takes the place that was left.
      place = taken.nextClearBit(OWN_PLACE);
      taken.set(place);
      send(snapshot.get(), List.of());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf message) {
      byte[] bytes = new byte[message.readableBytes()];
      message.readBytes(bytes);
      try {
        ListenerUpdate news = ListenerUpdateCodec.decode(bytes);
        if (news.held().isPresent()) {
          updates.holds(news.held().get(), clocks.nanos());
          sendIfBehind();
        }
        reported.accept(news.crashes());
        news.forwarded().ifPresent(forwarded);
      } catch (IOException e) {
        logger.atWarning().withCause(e).log(
            "event=peer_report_malformed peer=%s", channel.remoteAddress());
        Channels.close(context);
      }
    }

    private void sendIfBehind() {
      Snapshot now = snapshot.get();
      if (updates.heldVersion() < now.routes().version()) {
        send(now, List.of());
      }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      if (channel.isActive() && channel.isWritable()) {
        send(snapshot.get(), List.of());
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (listeners.remove(this)) {
        taken.clear(place);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Channels.close(context);
    }

    void send(Snapshot now, List<CrashReport> crashes) {
      if (!channel.isWritable()) {
        missedReports |= !crashes.isEmpty();
        closeIfStalled();
        return;
      }
      stall.reset();
      List<CrashReport> reports = missedReports ? now.crashes().reports() : crashes;
      missedReports = false;
      long version = now.routes().version();
      boolean earlierRelease = !updates.known() && clocks.nanos() - sinceNanos >= GREETING_NANOS;
      byte[] message =
          messages.message(
              now, instances(), toldServers, earlierRelease ? toldRoutes : ALL_VERSIONS, reports);
      if (earlierRelease) {
        toldRoutes = Math.max(toldRoutes, version);
      }
      toldServers = now.servers();
      byte[] end = PeerUpdateCodec.encodeEnd(placeAt(place), version, now.routesAgeMillis());
      byte[] update =
          updates.send(version, clocks.nanos())
              ? messages.update(now.routes(), updates.heldVersion())
              : NO_UPDATE;
      bytesSent.add(message.length + end.length + update.length);
      Channels.write(channel, Unpooled.wrappedBuffer(message, end, update));
    }

    /** What waits for it is bounded, since nothing is added while it is not writable. */
    private void closeIfStalled() {
      long unsent = channel.bytesBeforeWritable();
      if (stall.stalled(unsent, clocks.nanos())) {
        listenersDropped.increment();
        logger.atInfo().log(
            "event=listener_dropped peer=%s unsent_bytes=%d held_version=%d",
            channel.remoteAddress(), unsent, updates.heldVersion());
        Channels.close(channel);
      }
    }
  }
}
