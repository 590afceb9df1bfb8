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
 * Publishes the state of this instance to its listeners: on every change, and at short intervals so
 * that they know its age. A listener whose link is congested receives fewer messages rather than a
 * growing backlog. Runs on the control loop.
 */
public final class PeerHub {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Listeners that receive nothing for a few intervals close the connection and reconnect. */
  private static final long HEARTBEAT_MILLIS = 400;

  /** A listener that has not reported what it holds by then runs an earlier release. */
  private static final long ACKNOWLEDGEMENT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Above any version, so that a message never contains the full configuration. */
  private static final long NEVER_OUTDATED = Long.MAX_VALUE;

  private static final int LENGTH_BYTES = 4;
  private static final int OWN_INDEX = 0;
  private static final byte[] NO_NEWS = new byte[0];
  private static final byte[] NO_UPDATE = RouteUpdateCodec.encode(Optional.empty());

  /** Size limit of a listener's message, which may forward as much as this instance may send. */
  private static final int MAX_LISTENER_BYTES = PeerSubscription.MAX_MESSAGE_BYTES;

  /**
   * The state of this instance at one moment.
   *
   * @param ageMillis time since the oldest part of the state was confirmed
   * @param routesAgeMillis time since the configuration and the evacuations were confirmed
   * @param routes configuration in force
   * @param evacuations the evacuated data centres
   * @param servers servers in force
   * @param crashes reports about requests that make servers crash
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
  private final Supplier<Snapshot> currentState;
  private final Consumer<List<CrashReport>> crashReportHandler;
  private final Consumer<PeerUpdate> forwardedUpdateHandler;
  private final Set<Listener> listeners = new HashSet<>();
  private final BitSet usedIndexes = new BitSet();
  private final LongAdder bytesSent = new LongAdder();
  private final LongAdder listenersDropped = new LongAdder();
  private final MessageCache messages = new MessageCache();
  private final ListenerTeams teams;
  private long lastListenerId;
  private volatile long listenersBehind;

  /**
   * Creates a hub without listeners.
   *
   * @param currentState supplies the state to publish
   * @param crashReportHandler receives the crash reports of listeners
   * @param forwardedUpdateHandler receives state that a listener has read from the platform itself
   * @param teams exchanges quotas and demands of teams
   */
  public PeerHub(
      Loop loop,
      Clocks clocks,
      Supplier<Snapshot> currentState,
      Consumer<List<CrashReport>> crashReportHandler,
      Consumer<PeerUpdate> forwardedUpdateHandler,
      ListenerTeams teams) {
    this.teams = teams;
    this.loop = loop;
    this.clocks = clocks;
    this.currentState = currentState;
    this.crashReportHandler = crashReportHandler;
    this.forwardedUpdateHandler = forwardedUpdateHandler;
    usedIndexes.set(OWN_INDEX);
  }

  /** Binds the address that listeners connect to, and starts the heartbeat. */
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

  /** Number of instances: the listeners and this one. */
  public int instances() {
    return listeners.size() + 1;
  }

  /** Bytes sent to all listeners since the start. */
  public long bytesSent() {
    return bytesSent.sum();
  }

  /** Number of listeners disconnected since the start because they did not read. */
  public long listenersDropped() {
    return listenersDropped.sum();
  }

  /** Index of this instance among itself and its listeners. */
  public InstanceIndex ownIndex() {
    return instanceIndex(OWN_INDEX);
  }

  private InstanceIndex instanceIndex(int index) {
    return new InstanceIndex(index, usedIndexes.length());
  }

  /** Publishes the current state to all listeners. */
  public void publish() {
    publish(List.of());
  }

  /** Publishes the current state and new crash reports to all listeners. */
  public void publish(List<CrashReport> crashes) {
    Snapshot current = currentState.get();
    messages.recordInForce(current.routes());
    if (listeners.isEmpty()) {
      listenersBehind = 0;
      return;
    }
    listeners.stream()
        .sorted(Comparator.comparingInt(listener -> listener.updates.sendOrder()))
        .toList()
        .forEach(listener -> listener.send(current, crashes));
    listenersBehind = listeners.stream().filter(listener -> listener.updates.behind()).count();
  }

  /** Sends the current state to some listeners, because they need the news about teams at once. */
  public void publishTo(Set<Long> listenerIds) {
    Snapshot current = currentState.get();
    listeners.stream()
        .filter(listener -> listenerIds.contains(listener.id))
        .forEach(listener -> listener.send(current, List.of()));
  }

  /** Number of listeners whose configuration was outdated at the last publication. */
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

  /** A listening instance and what it was sent. */
  private final class Listener extends SimpleChannelInboundHandler<ByteBuf> {
    private final Channel channel;
    private final UpdateFlowControl updates = new UpdateFlowControl();
    private final StallDetector stallDetector = new StallDetector();
    private final long connectedNanos = clocks.nanos();
    private final long id = ++lastListenerId;
    private int index = OWN_INDEX;
    private ServerList sentServers = ServerList.EMPTY;
    private boolean reportsSkipped = true;

    /** Configuration version that was sent to a listener of an earlier release. */
    private long sentRoutesVersion;

    Listener(Channel channel) {
      this.channel = channel;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      listeners.add(this);
      // The lowest free index, so that a restarted instance reuses the one that it gave up.
      index = usedIndexes.nextClearBit(OWN_INDEX);
      usedIndexes.set(index);
      send(currentState.get(), List.of());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf message) {
      byte[] bytes = new byte[message.readableBytes()];
      message.readBytes(bytes);
      try {
        ListenerUpdate update = ListenerUpdateCodec.decode(bytes);
        if (update.held().isPresent()) {
          updates.acknowledged(update.held().get(), clocks.nanos());
          sendIfBehind();
        }
        update.teams().ifPresent(report -> teams.reported(id, report));
        crashReportHandler.accept(update.crashes());
        update.forwarded().ifPresent(forwardedUpdateHandler);
      } catch (IOException e) {
        logger.atWarning().withCause(e).log(
            "event=peer_report_malformed peer=%s", channel.remoteAddress());
        Channels.close(context);
      }
    }

    private void sendIfBehind() {
      Snapshot current = currentState.get();
      if (updates.heldVersion() < current.routes().version()) {
        send(current, List.of());
      }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      if (channel.isActive() && channel.isWritable()) {
        send(currentState.get(), List.of());
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (listeners.remove(this)) {
        usedIndexes.clear(index);
        teams.disconnected(id);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Channels.close(context);
    }

    void send(Snapshot current, List<CrashReport> crashes) {
      if (!channel.isWritable()) {
        reportsSkipped |= !crashes.isEmpty();
        closeIfStalled();
        return;
      }
      stallDetector.reset();
      List<CrashReport> reports = reportsSkipped ? current.crashes().reports() : crashes;
      reportsSkipped = false;
      long version = current.routes().version();
      boolean earlierRelease =
          !updates.hasAcknowledged()
              && clocks.nanos() - connectedNanos >= ACKNOWLEDGEMENT_TIMEOUT_NANOS;
      if (earlierRelease && !current.routes().teams().isEmpty()) {
        // It cannot read the teams, and must not take this message as a confirmation of its state.
        Channels.close(channel);
        return;
      }
      byte[] message =
          messages.message(
              current,
              instances(),
              sentServers,
              earlierRelease ? sentRoutesVersion : NEVER_OUTDATED,
              reports);
      if (earlierRelease) {
        sentRoutesVersion = Math.max(sentRoutesVersion, version);
      }
      sentServers = current.servers();
      byte[] tail =
          PeerUpdateCodec.encodeTail(instanceIndex(index), version, current.routesAgeMillis());
      byte[] update =
          updates.startUpdate(version, clocks.nanos())
              ? messages.update(current.routes(), updates.heldVersion())
              : NO_UPDATE;
      byte[] revisions =
          PeerUpdateCodec.encodeRevisions(
              current.servers().revision(), current.evacuations().revision());
      byte[] news = teams.nextNews(id).map(TeamMessageCodec::encode).orElse(NO_NEWS);
      bytesSent.add(message.length + tail.length + update.length + revisions.length + news.length);
      Channels.write(channel, Unpooled.wrappedBuffer(message, tail, update, revisions, news));
    }

    /**
     * Disconnects a listener that does not read: the number of bytes to send before its channel is
     * writable again does not decrease. Its pending bytes are bounded, because nothing is written
     * while the channel is not writable.
     */
    private void closeIfStalled() {
      long bytesBeforeWritable = channel.bytesBeforeWritable();
      if (stallDetector.stalled(bytesBeforeWritable, clocks.nanos())) {
        listenersDropped.increment();
        logger.atInfo().log(
            "event=listener_dropped peer=%s unsent_bytes=%d held_version=%d",
            channel.remoteAddress(), bytesBeforeWritable, updates.heldVersion());
        Channels.close(channel);
      }
    }
  }
}
