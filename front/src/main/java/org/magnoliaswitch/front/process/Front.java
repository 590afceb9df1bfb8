package org.magnoliaswitch.front.process;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.magnoliaswitch.front.connection.CallerListener;
import org.magnoliaswitch.front.connection.RequestHandler;
import org.magnoliaswitch.front.loop.Loop;

/** A running instance: callers' listener, readiness and the ordered stop. */
public final class Front {
  /** The balancer takes an instance out after two missed checks, a second apart. */
  private static final long NOTICE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_200);

  /**
   * Left of the grace time when the process ends, whatever is still open: a slow machine needs some
   * time to write its last lines, and would be killed meanwhile.
   */
  private static final long RESERVE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  /** Time between two looks at whether all connections have ended. */
  private static final long POLL_MILLIS = 50;

  /** Time between two closings of kept connections that their servers would soon close. */
  private static final long SWEEP_MILLIS = 500;

  private final Environment environment;
  private final KnownState knownState;
  private final CallerListener callers;
  private volatile boolean stopping;
  private boolean toldReady;

  public Front(
      Environment environment,
      KnownState knownState,
      Function<Environment, RequestHandler> handlers) {
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
    loop.everyMillis(SWEEP_MILLIS, environment.servers()::sweep);
    environment
        .log()
        .stateChange("start")
        .add("instance", settings.instance())
        .add("disabled_mechanisms", settings.mechanisms().disabled().toString().replace(" ", ""))
        .write();
  }

  /** Address that callers connect to, as bound. */
  public InetSocketAddress callerAddress() {
    return callers.address();
  }

  /**
   * Stops in order and calls back when the process may end: not ready at once, served on until the
   * balancer has noticed, then idle connections are closed and requests in flight finished.
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
    long notice = Math.min(NOTICE_NANOS, grace / 2);
    long deadline = environment.clocks().nanos() + grace;
    loop.execute(callers::startDraining);
    loop.after(notice, () -> drain(deadline, stopped));
  }

  private void drain(long deadline, Runnable stopped) {
    callers.stopAccepting();
    boolean late = environment.clocks().nanos() - deadline >= 0;
    if (callers.size() == 0 || late) {
      environment.log().stateChange("stopped").add("open", callers.size()).write();
      stopped.run();
    } else {
      environment.loop().afterMillis(POLL_MILLIS, () -> drain(deadline, stopped));
    }
  }

  private StatusListener.Status readiness() {
    boolean ready = knownState.complete() && !stopping;
    if (ready != toldReady) {
      toldReady = ready;
      environment
          .log()
          .stateChange(ready ? "ready" : "not_ready")
          .add("version", knownState.routesVersion())
          .write();
    }
    return new StatusListener.Status(ready, ready ? "ready\n" : "not ready\n");
  }
}
