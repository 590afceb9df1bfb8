package org.magnoliaswitch.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.SecureRequestCustomizer;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.SslConnectionFactory;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.magnoliaswitch.core.process.ControlPlane;
import org.magnoliaswitch.core.request.RequestService;

/** The listener that callers reach: HTTP/1.1, each request on a virtual thread. */
final class CallerListener {
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int IDLE_MILLIS = 60_000;
  private static final int ACCEPT_QUEUE = 1_024;
  private static final int MAX_THREADS = 32;

  /** Heap that an idle connection takes, with its buffers. */
  private static final long CONNECTION_BYTES = 32 * 1024;

  private static final int MAX_CONNECTIONS =
      (int) Math.min(100_000, Runtime.getRuntime().maxMemory() / CONNECTION_BYTES);

  private final Server server;
  private final ServerConnector connector;
  private final CallerHandler handler;

  CallerListener(EntrySettings settings, ControlPlane control, RequestService requests)
      throws IOException {
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 4);
    threads.setName("callers");
    threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
    this.server = new Server(threads);
    this.handler = new CallerHandler(settings, control, requests);
    this.connector = connector(settings);
    server.addConnector(connector);
    server.addBean(new NetworkConnectionLimit(MAX_CONNECTIONS, server));
    server.setHandler(handler);
  }

  void countWith(EntryMetrics metrics) {
    handler.countWith(metrics);
  }

  void start() throws Exception {
    server.start();
  }

  int inFlight() {
    return handler.inFlight();
  }

  /** From now on readiness fails and answers close their connections. */
  void unready() {
    handler.unready();
  }

  /**
   * Accepts no more, waits for requests in flight and closes; false when the time was too short.
   */
  boolean stop(long limitMillis) {
    boolean finished = false;
    try {
      var unused = connector.shutdown();
      handler.idle().get(limitMillis, TimeUnit.MILLISECONDS);
      finished = true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      finished = false;
    }
    try {
      server.stop();
    } catch (Exception e) {
      // The process ends in any case; all answers were given or the limit was reached.
      return false;
    }
    return finished;
  }

  private ServerConnector connector(EntrySettings settings) throws IOException {
    HttpConfiguration http = new HttpConfiguration();
    http.setRequestHeaderSize(MAX_HEADER_BYTES);
    http.setResponseHeaderSize(MAX_HEADER_BYTES);
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    http.setHttpCompliance(HttpCompliance.RFC9110);
    // The header cache is a table of 98 KB per connection: 1,900 connections filled a heap of 256
    // MB.
    http.setHeaderCacheSize(0);
    HttpConnectionFactory plain = new HttpConnectionFactory(http);
    ServerConnector listener;
    if (settings.tls().isPresent()) {
      http.addCustomizer(new SecureRequestCustomizer(false));
      listener =
          new ServerConnector(
              server, new SslConnectionFactory(tls(settings.tls().get()), "http/1.1"), plain);
    } else {
      listener = new ServerConnector(server, 1, 2, plain);
    }
    listener.setHost(settings.host());
    listener.setPort(settings.callerPort());
    listener.setIdleTimeout(IDLE_MILLIS);
    listener.setAcceptQueueSize(ACCEPT_QUEUE);
    return listener;
  }

  private static SslContextFactory.Server tls(EntrySettings.Tls tls) throws IOException {
    SslContextFactory.Server factory = new SslContextFactory.Server();
    factory.setKeyStorePath(tls.keyStore());
    factory.setKeyStoreType("PKCS12");
    factory.setKeyStorePassword(
        Files.readString(Path.of(tls.passwordFile()), StandardCharsets.UTF_8).strip());
    return factory;
  }
}
