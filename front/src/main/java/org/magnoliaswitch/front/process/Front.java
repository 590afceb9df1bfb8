package org.magnoliaswitch.front.process;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.magnoliaswitch.front.connection.CallerListener;
import org.magnoliaswitch.front.connection.RequestHandler;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.relay.RelayListener;

/** A running instance: the listener for callers, the readiness check and the graceful shutdown. */
public final class Front {
  /**
   * How long requests are accepted after the stop signal: the balancer in front of the instances
   * removes an instance after two failed checks, one second apart.
   */
  private static final long UNREADY_NANOS = TimeUnit.MILLISECONDS.toNanos(3_200);

  /**
   * Part of the grace period that is left when the process exits, even with open connections: a
   * slow machine needs some time to write its last log lines before it is killed.
   */
  private static final long RESERVE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  /** Interval at which the shutdown checks whether all connections are closed. */
  private static final long POLL_MILLIS = 50;

  /**
   * Interval at which idle connections are closed that their servers would soon close, and servers
   * are selected anew if other servers are unavailable than before.
   */
  private static final long SWEEP_MILLIS = 500;

  private final Environment environment;
  private final KnownState knownState;
  private final CallerListener callers;
  private final RelayListener relays;
  private volatile boolean stopping;
  private boolean reportedReady;

  public Front(
      Environment environment,
      KnownState knownState,
      Function<Environment, RequestHandler> handlers,
      RelayListener relays) {
    this.relays = relays;
    this.environment = environment;
    this.knownState = knownState;
    this.callers =
        new CallerListener(
            environment.loop(),
            environment.clocks(),
            handlers.apply(environment),
            () -> environment.routes().get().limits());
  }

  /** Binds all addresses. */
  public void start() {
    Loop loop = environment.loop();
    new StatusListener(loop, this::readiness).bind(environment.settings().readiness());
    FrontSettings settings = environment.settings();
    InetSocketAddress metrics =
        new InetSocketAddress(settings.readiness().getAddress(), settings.metricsPort());
    new StatusListener(loop, () -> new StatusListener.Status(true, environment.metrics().scrape()))
        .bind(metrics);
    callers.bind(environment.settings().callers());
    environment.metrics().gauge("answers.waiting.bytes", callers::waitingResponseBytes);
    loop.everyMillis(SWEEP_MILLIS, environment.servers()::sweep);
    environment
        .log()
        .stateChange("start")
        .add("instance", settings.instance())
        .add("disabled_mechanisms", settings.mechanisms().disabled().toString().replace(" ", ""))
        .write();
  }

  /** Returns the address that callers connect to, as bound. */
  public InetSocketAddress callerAddress() {
    return callers.address();
  }

  /**
   * Shuts down gracefully and calls back when the process may exit. The readiness check fails at
   * once, requests are served for the time in which the balancer in front of the instances removes
   * this one, then idle connections are closed and requests in flight are finished.
   */
  public void stop(Runnable stopped) {
    stopping = true;
    environment
        .log()
        .stateChange("stop")
        .add("instance", environment.settings().instance())
        .write();
    Loop loop = environment.loop();
    long grace = environment.settings().graceNanos() - RESERVE_NANOS;
    long unready = Math.min(UNREADY_NANOS, grace / 2);
    long deadline = environment.clocks().nanos() + grace;
    loop.execute(callers::startDraining);
    loop.execute(relays::startDraining);
    loop.after(unready, () -> drain(deadline, stopped));
  }

  private void drain(long deadline, Runnable stopped) {
    callers.stopAccepting();
    boolean expired = environment.clocks().nanos() - deadline >= 0;
    int open = callers.size() + relays.size();
    if (open == 0 || expired) {
      environment
          .log()
          .stateChange("stopped")
          .add("open", open)
          .add("unsent_bytes", callers.unsentBytes())
          .write();
      stopped.run();
    } else {
      environment.loop().afterMillis(POLL_MILLIS, () -> drain(deadline, stopped));
    }
  }

  /**
   * Whether requests with keys are served, if there are teams. While they are not, callers are
   * better served by other instances.
   */
  private boolean servesKeys() {
    return environment.routes().get().teams().isEmpty()
        || environment.settings().teams().allowKeys(environment.confirmation());
  }

  private StatusListener.Status readiness() {
    boolean ready = knownState.complete() && servesKeys() && !stopping;
    if (ready != reportedReady) {
      reportedReady = ready;
      environment
          .log()
          .stateChange(ready ? "ready" : "not_ready")
          .add("version", knownState.routesVersion())
          .write();
    }
    return new StatusListener.Status(ready, ready ? "ready\n" : "not ready\n");
  }
}
