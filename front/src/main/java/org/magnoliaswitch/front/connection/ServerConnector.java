package org.magnoliaswitch.front.connection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.process.ServicePaths;
import org.magnoliaswitch.front.loop.Channels;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.relay.RelayConnector;
import org.magnoliaswitch.front.version.HeaderNames;
import org.magnoliaswitch.front.version.ServerEntry;

/**
 * Opens connections to backend servers: directly, and through another instance where the direct one
 * fails or takes long.
 */
public final class ServerConnector {
  /**
   * A server that does not accept a connection within this time is skipped; since nothing has been
   * written yet, another server can be tried safely.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 250;

  /**
   * Time after which another instance is asked beside a direct attempt. Within a region, a
   * connection opens within a few milliseconds.
   */
  private static final long RELAY_DELAY_MILLIS = 60;

  /** Limit for the bodies of all responses that are being received: a quarter of the heap. */
  private static final long MAX_TOTAL_BODY_BYTES = 32 << 20;

  private final Loop loop;
  private final Clocks clocks;
  private final HeaderNames names;
  private final Optional<RelayConnector> relays;
  private final ServicePaths paths;
  private final UnmatchedBytesListener unmatchedBytes;
  private final BodyMemory memory = new BodyMemory(MAX_TOTAL_BODY_BYTES);

  /** Creates a connector that opens connections directly only. */
  public ServerConnector(Loop loop, Clocks clocks, HeaderNames names) {
    this(loop, clocks, names, Optional.empty(), UnmatchedBytesListener.NONE);
  }

  /**
   * Creates a connector.
   *
   * @param relays opens connections through other instances; absent if there are none
   * @param unmatchedBytes receives what servers send besides the responses to requests
   */
  public ServerConnector(
      Loop loop,
      Clocks clocks,
      HeaderNames names,
      Optional<RelayConnector> relays,
      UnmatchedBytesListener unmatchedBytes) {
    this.unmatchedBytes = unmatchedBytes;
    this.loop = loop;
    this.clocks = clocks;
    this.names = names;
    this.relays = relays;
    this.paths = new ServicePaths();
  }

  /** Receives what servers send besides the responses to requests. */
  UnmatchedBytesListener unmatchedBytes() {
    return unmatchedBytes;
  }

  /** The paths of this instance to the servers of each service. */
  public ServicePaths paths() {
    return paths;
  }

  /** Opens a connection; exactly one of the callbacks is called. */
  void connect(
      ServerEntry server,
      ServerConnection.Owner owner,
      Consumer<ServerConnection> connected,
      Consumer<Throwable> failed) {
    new Opening(server, owner, connected, failed).start();
  }

  /**
   * Opens a connection directly, whatever is known of the path; exactly one of the callbacks is
   * called.
   */
  void connectDirectly(
      ServerEntry server,
      ServerConnection.Owner owner,
      Consumer<ServerConnection> connected,
      Consumer<Throwable> failed) {
    openDirectly(
        server,
        channel -> {
          ServerConnection connection = attach(channel, owner, Optional.empty());
          connected.accept(connection);
          paths.directOpened(server.service(), server.id());
        },
        failed);
  }

  /**
   * Asks other instances whether a server refuses their connections.
   *
   * @param callback receives the answer, or nothing if no other instance can tell
   */
  void checkRefusedToOthers(ServerEntry server, Consumer<Optional<Boolean>> callback) {
    if (relays.isEmpty()) {
      callback.accept(Optional.empty());
      return;
    }
    relays.get().checkRefused(server.id(), server.service(), callback);
  }

  private void openDirectly(
      ServerEntry server, Consumer<Channel> opened, Consumer<Throwable> failed) {
    InetSocketAddress address = new InetSocketAddress(server.host(), server.port());
    ChannelFuture future =
        Channels.connectToServer(loop, address, CONNECT_TIMEOUT_MILLIS, new Pipeline());
    var unused =
        future.addListener(
            ended -> {
              if (ended.isSuccess()) {
                opened.accept(future.channel());
              } else {
                failed.accept(ended.cause());
              }
            });
  }

  /** Whether connecting failed because no process listens at the address. */
  static boolean connectionRefused(Throwable cause) {
    return cause instanceof ConnectException
        && !(cause instanceof ConnectTimeoutException)
        && !(cause instanceof PathLostException);
  }

  /** Runs a task on the event loop of the connections after a delay. */
  void afterMillis(long millis, Runnable task) {
    loop.afterMillis(millis, task);
  }

  /** One connection that is being opened, in up to two ways at a time. */
  private final class Opening {
    private final ServerEntry server;
    private final ServerConnection.Owner owner;
    private final Consumer<ServerConnection> connected;
    private final Consumer<Throwable> failed;
    private Loop.Timer relayTimer = () -> {};
    private Optional<RelayConnector.Attempt> relayAttempt = Optional.empty();
    private @Nullable Throwable directFailure;
    private @Nullable Throwable relayFailure;
    private boolean done;

    Opening(
        ServerEntry server,
        ServerConnection.Owner owner,
        Consumer<ServerConnection> connected,
        Consumer<Throwable> failed) {
      this.server = server;
      this.owner = owner;
      this.connected = connected;
      this.failed = failed;
    }

    void start() {
      if (relays.isPresent() && paths.detour(server.service(), server.id())) {
        directFailure = new PathLostException(server.service());
        openThroughRelay();
        return;
      }
      openDirectly(server, this::directOpened, this::directFailed);
      if (relays.isPresent() && relays.get().available(server.service())) {
        relayTimer = loop.afterMillis(RELAY_DELAY_MILLIS, this::openThroughRelay);
      } else {
        relayFailure = new PathLostException(server.service());
      }
    }

    private void directOpened(Channel channel) {
      paths.directOpened(server.service(), server.id());
      if (done) {
        Channels.close(channel);
        return;
      }
      done = true;
      relayTimer.cancel();
      relayAttempt.ifPresent(RelayConnector.Attempt::cancel);
      connected.accept(attach(channel, owner, Optional.empty()));
    }

    private void directFailed(Throwable cause) {
      directFailure = cause;
      relayTimer.cancel();
      if (done) {
        return;
      }
      if (relayAttempt.isEmpty() && relayFailure == null) {
        openThroughRelay();
      } else if (relayFailure != null || cause instanceof ConnectTimeoutException) {
        relayAttempt.ifPresent(RelayConnector.Attempt::cancel);
        fail();
      }
    }

    private void openThroughRelay() {
      if (!done && relayAttempt.isEmpty()) {
        relayAttempt =
            relays.map(
                connector ->
                    connector.open(
                        server.id(), server.service(), this::relayOpened, this::relayFailed));
      }
    }

    private void relayOpened(RelayConnector.Opened opened) {
      if (done) {
        Channels.close(opened.channel());
        return;
      }
      done = true;
      paths.reachedByOther(server.service(), server.id());
      addCodec(opened.channel().pipeline());
      connected.accept(attach(opened.channel(), owner, Optional.of(opened.relay())));
    }

    private void relayFailed(RelayConnector.Failure failure) {
      relayFailure =
          switch (failure) {
            case SERVER_REFUSED -> new ConnectException("refused to another instance, too");
            case SERVER_UNREACHABLE -> new ConnectTimeoutException("silent to others, too");
            case NO_RELAY -> new PathLostException(server.service());
          };
      if (done || directFailure == null) {
        return;
      }
      boolean untried = directFailure instanceof PathLostException;
      if (untried && failure == RelayConnector.Failure.NO_RELAY && !paths.lost(server.service())) {
        openDirectly(server, this::directOpened, this::directFailed);
      } else {
        fail();
      }
    }

    /** Fails with what tells more of the server: its answer to whoever reaches it. */
    private void fail() {
      done = true;
      boolean ownPathLost = directFailure instanceof PathLostException;
      failed.accept(ownPathLost && relayFailure != null ? relayFailure : directFailure);
    }
  }

  private ServerConnection attach(
      Channel channel, ServerConnection.Owner owner, Optional<InetSocketAddress> relay) {
    ServerConnection connection =
        new ServerConnection(channel, owner, clocks, names, memory, relay);
    channel.pipeline().get(ServerResponseDecoder.class).connection(connection);
    channel.pipeline().addLast(connection);
    return connection;
  }

  private static void addCodec(ChannelPipeline pipeline) {
    pipeline.addLast(new ServerResponseDecoder(), new HttpRequestEncoder());
  }

  /** Installs the codec; the connection handler is added once the channel is open. */
  private static final class Pipeline extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      addCodec(channel.pipeline());
    }
  }
}
