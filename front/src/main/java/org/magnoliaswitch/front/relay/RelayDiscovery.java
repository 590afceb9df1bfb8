package org.magnoliaswitch.front.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.loop.Channels;
import org.magnoliaswitch.front.loop.Loop;

/**
 * Makes this instance known to the seeds as a relay, and learns of others from them. The relays
 * must be known before they are needed, and a seed that starts anew knows none. Runs on one event
 * loop.
 */
public final class RelayDiscovery {
  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  /** When all instances start at once, the seeds know few of them at the first question. */
  private static final List<Long> FIRST_MILLIS = List.of(1_000L, 3_000L);

  private static final long INTERVAL_MILLIS = 30_000;

  /** Shortest time between two questions while none of the known relays helps. */
  private static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final Loop loop;
  private final Clocks clocks;
  private final InetSocketAddress own;
  private final List<InetSocketAddress> seeds;
  private final Consumer<Collection<InetSocketAddress>> learned;
  private long askedNanos;

  /**
   * Creates the discovery.
   *
   * @param own address at which this instance is a relay
   * @param seeds such addresses of the seeds
   * @param learned receives the relays that a seed has told
   */
  public RelayDiscovery(
      Loop loop,
      Clocks clocks,
      InetSocketAddress own,
      List<InetSocketAddress> seeds,
      Consumer<Collection<InetSocketAddress>> learned) {
    this.loop = loop;
    this.clocks = clocks;
    this.askedNanos = clocks.nanos();
    this.own = own;
    this.seeds = seeds.stream().filter(seed -> !seed.equals(own)).toList();
    this.learned = learned;
  }

  /** Starts asking the seeds, which are relays themselves. */
  public void start() {
    loop.execute(() -> learned.accept(seeds));
    FIRST_MILLIS.forEach(delay -> loop.afterMillis(delay, this::ask));
    loop.everyMillis(INTERVAL_MILLIS, this::ask);
  }

  /** Asks the seeds for further relays, unless they were asked a moment ago. */
  public void askForOthers() {
    if (clocks.nanos() - askedNanos >= MIN_INTERVAL_NANOS) {
      ask();
    }
  }

  private void ask() {
    askedNanos = clocks.nanos();
    seeds.forEach(this::ask);
  }

  private void ask(InetSocketAddress seed) {
    ChannelFuture future =
        Channels.connect(
            loop,
            seed,
            CONNECT_TIMEOUT_MILLIS,
            new ChannelInitializer<>() {
              @Override
              protected void initChannel(Channel channel) {
                RelayPipeline.install(channel, new Answer());
              }
            });
    var unused =
        future.addListener(
            done -> {
              if (done.isSuccess()) {
                RelayPipeline.write(future.channel(), new RelayMessage.Join(own));
              }
            });
  }

  private final class Answer extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws IOException {
      byte[] bytes = new byte[frame.readableBytes()];
      frame.readBytes(bytes);
      if (RelayMessage.decode(bytes) instanceof RelayMessage.Known known) {
        learned.accept(known.relays());
      }
      Channels.close(context);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Channels.close(context);
    }
  }
}
