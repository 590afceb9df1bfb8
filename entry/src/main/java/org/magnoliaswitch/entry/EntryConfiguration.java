package org.magnoliaswitch.entry;

import io.dropwizard.core.Configuration;
import io.dropwizard.core.server.SimpleServerFactory;
import io.dropwizard.jetty.HttpConnectorFactory;
import io.dropwizard.logging.common.ExternalLoggingFactory;
import io.dropwizard.request.logging.LogbackAccessRequestLogFactory;
import java.util.List;

/** Dropwizard configuration derived from {@link EntrySettings}. */
public final class EntryConfiguration extends Configuration {
  private static final int OPERATOR_THREADS = 32;

  private final EntrySettings settings;

  public EntryConfiguration(EntrySettings settings) {
    this.settings = settings;
    setLoggingFactory(new ExternalLoggingFactory());
    HttpConnectorFactory connector = new HttpConnectorFactory();
    connector.setBindHost(settings.host());
    connector.setPort(settings.operatorPort());
    SimpleServerFactory server = new SimpleServerFactory();
    server.setConnector(connector);
    server.setApplicationContextPath("/");
    server.setAdminContextPath("/admin");
    server.setMaxThreads(OPERATOR_THREADS);
    server.setMinThreads(4);
    LogbackAccessRequestLogFactory requestLog = new LogbackAccessRequestLogFactory();
    requestLog.setAppenders(List.of());
    server.setRequestLogFactory(requestLog);
    setServerFactory(server);
  }

  /** Returns the settings that this configuration is derived from. */
  public EntrySettings settings() {
    return settings;
  }
}
