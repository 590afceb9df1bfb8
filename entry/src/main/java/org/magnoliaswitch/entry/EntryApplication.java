package org.magnoliaswitch.entry;

import com.google.common.flogger.FluentLogger;
import com.google.inject.Guice;
import com.google.inject.Injector;
import io.dropwizard.core.Application;
import io.dropwizard.core.setup.Bootstrap;
import io.dropwizard.core.setup.Environment;
import org.eclipse.jetty.server.Server;
import org.magnoliaswitch.core.process.ControlPlane;
import org.magnoliaswitch.core.request.RequestService;

/** Dropwizard application that starts the listeners of an entry and stops them in order. */
public final class EntryApplication extends Application<EntryConfiguration> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EntrySettings settings;

  public EntryApplication(EntrySettings settings) {
    this.settings = settings;
  }

  @Override
  public String getName() {
    return "magnolia-entry";
  }

  @Override
  public void initialize(Bootstrap<EntryConfiguration> bootstrap) {
    bootstrap.setConfigurationFactoryFactory(
        (type, validator, mapper, prefix) -> new FixedConfigurationFactory(settings));
  }

  /** Does nothing, because the configuration file of the core library sets up logging. */
  @Override
  protected void bootstrapLogging() {
    logger.atFine().log("event=bootstrap");
  }

  @Override
  public void run(EntryConfiguration configuration, Environment environment) throws Exception {
    Injector injector = Guice.createInjector(new EntryModule(settings));
    ControlPlane control = injector.getInstance(ControlPlane.class);
    CallerListener callers =
        new CallerListener(settings, control, injector.getInstance(RequestService.class));
    EntryMetrics metrics = injector.getInstance(EntryMetrics.class);
    callers.setMetrics(metrics);
    environment.jersey().register(injector.getInstance(BearerFilter.class));
    environment.jersey().register(injector.getInstance(OperatorResource.class));
    environment.jersey().register(injector.getInstance(ConfigurationResource.class));
    environment.healthChecks().register("configuration", new ReadyCheck(control));
    control.start();
    callers.start();
    GracefulStop stop = new GracefulStop(settings, control, callers);
    environment.lifecycle().addServerLifecycleListener(server -> replaceShutdownHook(server, stop));
    logger.atInfo().log(
        "event=started instance=%s incarnation=%s callers=%s:%d",
        settings.instance(),
        control.state().membership().self().incarnation(),
        settings.host(),
        settings.callerPort());
  }

  /**
   * Replaces the shutdown hook of Dropwizard, which would stop the listener for operators first.
   */
  private static void replaceShutdownHook(Server server, GracefulStop stop) {
    server.setStopAtShutdown(false);
    Runtime.getRuntime().addShutdownHook(new Thread(stop::run, "graceful-stop"));
  }
}
