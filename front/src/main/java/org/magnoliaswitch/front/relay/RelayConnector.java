package org.magnoliaswitch.front.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.CorruptedFrameException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.RelaySelection;
import org.magnoliaswitch.front.loop.Channels;
import org.magnoliaswitch.front.loop.Loop;

/**
 * Opens connections to backend servers through other instances. The other instance passes bytes on
 * and decides nothing, so whatever holds for a request on a direct connection holds here. Runs on
 * one event loop.
 */
public final class RelayConnector {
  private static final int CONNECT_TIMEOUT_MILLIS = 100;

  /** Somewhat longer than an instance waits for a server. */
  private static final long ANSWER_TIMEOUT_MILLIS = 300;

  /** Instances that must find a server refusing connections. */
  private static final int MIN_WITNESSES = 2;

  /** Fired as a user event when the other instance wants the connection closed once it is idle. */
  public record CloseAnnounced() {}

  /** Why no connection could be opened. */
  public enum Failure {
    /** The server refused the connection of another instance, too. */
    SERVER_REFUSED,
    /** The server did not accept the connection of another instance in time, either. */
    SERVER_UNREACHABLE,
    /** No other instance could help. */
    NO_RELAY
  }

  /** An open connection and the instance through which it leads. */
  public record Opened(Channel channel, InetSocketAddress relay) {}

  /** Ends an attempt to open a connection. */
  @FunctionalInterface
  public interface Attempt {
    /** Closes what has been opened so far; no callback is called afterwards. */
    void cancel();
  }

  private final Loop loop;
  private final Clocks clocks;
  private final RelaySelection<InetSocketAddress> relays;
  private final Runnable noneHelps;

  /**
   * Creates a connector.
   *
   * @param noneHelps called when none of the known instances could help
   */
  public RelayConnector(
      Loop loop, Clocks clocks, RelaySelection<InetSocketAddress> relays, Runnable noneHelps) {
    this.loop = loop;
    this.clocks = clocks;
    this.relays = relays;
    this.noneHelps = noneHelps;
  }

  /** Whether there is an instance to ask for a service. */
  public boolean available(String service) {
    return relays.anyFor(service, clocks.nanos());
  }

  /**
   * Opens a connection to a server, asking one instance after the other; at most one of the
   * callbacks is called.
   */
  public Attempt open(
      String serverId, String service, Consumer<Opened> opened, Consumer<Failure> failed) {
    Opening opening =
        new Opening(
            serverId,
            service,
            relays.candidates(service, clocks.nanos()),
            MIN_WITNESSES,
            opened,
            failed);
    opening.askNext();
    return opening;
  }

  /**
   * Asks two instances at the same time whether a server refuses their connections.
   *
   * @param callback receives the answer, or nothing if no instance can tell
   */
  public void checkRefused(String serverId, String service, Consumer<Optional<Boolean>> callback) {
    new RefusalCheck(callback).start(serverId, service);
  }

  /** Two instances that are asked at the same time, each followed by others if it cannot help. */
  private final class RefusalCheck {
    private final Consumer<Optional<Boolean>> callback;
    private int pending = MIN_WITNESSES;
    private Optional<Boolean> refused = Optional.empty();
    private boolean ended;

    RefusalCheck(Consumer<Optional<Boolean>> callback) {
      this.callback = callback;
    }

    void start(String serverId, String service) {
      List<InetSocketAddress> candidates = relays.candidates(service, clocks.nanos());
      int half = (candidates.size() + 1) / 2;
      ask(serverId, service, candidates.subList(0, half));
      ask(serverId, service, candidates.subList(half, candidates.size()));
    }

    private void ask(String serverId, String service, List<InetSocketAddress> candidates) {
      new Opening(serverId, service, candidates, 1, this::opened, this::failed).askNext();
    }

    private void opened(Opened opened) {
      Channels.close(opened.channel());
      answered(Optional.of(false));
    }

    private void failed(Failure failure) {
      answered(
          switch (failure) {
            case SERVER_REFUSED -> Optional.of(true);
            case SERVER_UNREACHABLE -> Optional.of(false);
            case NO_RELAY -> Optional.empty();
          });
    }

    /** Ends with the first instance that was not refused, or with the answer of the last one. */
    private void answered(Optional<Boolean> answer) {
      pending--;
      if (ended) {
        return;
      }
      refused = answer.or(() -> refused);
      ended = pending == 0 || !refused.orElse(true);
      if (ended) {
        callback.accept(refused);
      }
    }
  }

  private final class Opening implements Attempt {
    private final String serverId;
    private final String service;
    private final Consumer<Opened> opened;
    private final Consumer<Failure> failed;
    private final List<InetSocketAddress> candidates;
    private final int witnesses;
    private Optional<Channel> asked = Optional.empty();
    private Loop.Timer timeout = () -> {};
    private int next;
    private int refusals;
    private boolean ended;

    /**
     * Creates an attempt.
     *
     * @param candidates instances to ask, in this order
     * @param witnesses instances whose connections the server must refuse for it to count as
     *     refusing, if there are as many
     */
    Opening(
        String serverId,
        String service,
        List<InetSocketAddress> candidates,
        int witnesses,
        Consumer<Opened> opened,
        Consumer<Failure> failed) {
      this.serverId = serverId;
      this.service = service;
      this.candidates = candidates;
      this.witnesses = witnesses;
      this.opened = opened;
      this.failed = failed;
    }

    void askNext() {
      if (ended) {
        return;
      }
      if (next == candidates.size()) {
        noneHelps.run();
        end(refusals > 0 ? Failure.SERVER_REFUSED : Failure.NO_RELAY);
        return;
      }
      InetSocketAddress relay = candidates.get(next++);
      ChannelFuture future =
          Channels.connectWithKeepAlive(loop, relay, CONNECT_TIMEOUT_MILLIS, initializer(relay));
      asked = Optional.of(future.channel());
      int position = next;
      timeout.cancel();
      timeout =
          loop.afterMillis(
              ANSWER_TIMEOUT_MILLIS,
              () -> {
                if (!ended && position == next) {
                  Channels.close(future.channel());
                }
              });
      var unused =
          future.addListener(
              done -> {
                if (!done.isSuccess()) {
                  declined(relay);
                } else if (!ended) {
                  RelayPipeline.write(future.channel(), new RelayMessage.Open(serverId, true));
                }
              });
    }

    private ChannelInitializer<Channel> initializer(InetSocketAddress relay) {
      return new ChannelInitializer<>() {
        @Override
        protected void initChannel(Channel channel) {
          RelayPipeline.install(channel, new Answer(Opening.this, relay));
        }
      };
    }

    void declined(InetSocketAddress relay) {
      if (ended) {
        return;
      }
      relays.declined(relay, service, clocks.nanos());
      askNext();
    }

    void answered(Channel channel, InetSocketAddress relay, RelayMessage.Opened answer) {
      if (ended) {
        Channels.close(channel);
        return;
      }
      switch (answer.status()) {
        case OPENED -> {
          ended = true;
          timeout.cancel();
          channel.pipeline().replace(Answer.class, null, new RelayedBytes(answer.signals()));
          opened.accept(new Opened(channel, relay));
        }
        case REFUSED -> serverRefused();
        case UNREACHABLE -> end(Failure.SERVER_UNREACHABLE);
        case UNAVAILABLE -> declined(relay);
      }
    }

    /** Asks a second witness, because the first one may have lost its own path just now. */
    private void serverRefused() {
      refusals++;
      if (refusals == witnesses || next == candidates.size()) {
        end(Failure.SERVER_REFUSED);
      } else {
        asked.ifPresent(Channels::close);
        askNext();
      }
    }

    private void end(Failure failure) {
      ended = true;
      timeout.cancel();
      asked.ifPresent(Channels::close);
      failed.accept(failure);
    }

    @Override
    public void cancel() {
      if (!ended) {
        ended = true;
        timeout.cancel();
        asked.ifPresent(Channels::close);
      }
    }
  }

  /** Handles the answer of the asked instance. */
  private static final class Answer extends SimpleChannelInboundHandler<ByteBuf> {
    private final Opening opening;
    private final InetSocketAddress relay;
    private boolean answered;

    Answer(Opening opening, InetSocketAddress relay) {
      this.opening = opening;
      this.relay = relay;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws IOException {
      byte[] bytes = new byte[frame.readableBytes()];
      frame.readBytes(bytes);
      if (RelayMessage.decode(bytes) instanceof RelayMessage.Opened answer) {
        answered = true;
        opening.answered(context.channel(), relay, answer);
      } else {
        Channels.close(context);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (!answered) {
        answered = true;
        opening.declined(relay);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Channels.close(context);
    }
  }

  /** Separates the bytes of the connection from the signals of the relay. */
  private static final class RelayedBytes extends ChannelInboundHandlerAdapter {
    private final boolean signals;
    private boolean signalFollows;

    RelayedBytes(boolean signals) {
      this.signals = signals;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ByteBuf frame = (ByteBuf) message;
      if (frame.isReadable() && !signalFollows) {
        context.fireChannelRead(frame);
        return;
      }
      try {
        readSignal(context, frame);
      } finally {
        frame.release();
      }
    }

    private void readSignal(ChannelHandlerContext context, ByteBuf frame) {
      if (!signals) {
        context.fireUserEventTriggered(new CloseAnnounced());
      } else if (!signalFollows) {
        signalFollows = true;
      } else {
        signalFollows = false;
        fire(context, frame);
      }
    }

    private static void fire(ChannelHandlerContext context, ByteBuf frame) {
      byte code = frame.isReadable() ? frame.readByte() : -1;
      if (code == RelaySignal.CLOSE_ANNOUNCED.code()) {
        context.fireUserEventTriggered(new CloseAnnounced());
      } else if (code == RelaySignal.END_OF_OUTPUT.code()) {
        context.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
      } else {
        context.fireExceptionCaught(new CorruptedFrameException("unknown signal " + code));
      }
    }
  }
}
