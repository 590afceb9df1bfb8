package org.magnoliaswitch.entry;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
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
import org.eclipse.jetty.server.SslConnectionFactory;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.process.ControlPlane;
import org.magnoliaswitch.core.request.RequestService;

/** HTTP/1.1 listener for callers. Each request is served on its own virtual thread. */
final class CallerListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int IDLE_MILLIS = 60_000;
  private static final int ACCEPT_QUEUE = 1_024;
  private static final int MAX_THREADS = 32;

  /** Makes the library choose the number of threads. */
  private static final int DEFAULT_THREADS = -1;

  /** Time in which the slowest caller, at 512 KB/s, receives the 4 MB that the kernel may hold. */
  private static final long RECEIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(8_500);

  /** Heap used by an idle connection, including its buffers. */
  private static final long CONNECTION_BYTES = 32 * 1024;

  private static final int MAX_CONNECTIONS =
      (int) Math.min(100_000, Runtime.getRuntime().maxMemory() / CONNECTION_BYTES);

  private final Server server;
  private final LingeringConnector connector;
  private final CallerHandler handler;
  private final Clocks clocks;

  CallerListener(EntrySettings settings, ControlPlane control, RequestService requests)
      throws IOException {
    this.clocks = control.clocks();
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 4);
    threads.setName("callers");
    threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
    this.server = new Server(threads);
    this.handler = new CallerHandler(settings, control, requests);
    this.connector = createConnector(settings);
    server.addConnector(connector);
    server.addBean(new NetworkConnectionLimit(MAX_CONNECTIONS, server));
    server.setHandler(handler);
  }

  void setMetrics(EntryMetrics metrics) {
    handler.setMetrics(metrics);
  }

  void start() throws Exception {
    server.start();
  }

  int inFlight() {
    return handler.inFlight();
  }

  /** Fails the readiness check and closes each connection after its next response. */
  void markNotReady() {
    handler.markNotReady();
  }

  /**
   * Stops accepting connections, waits for requests in flight and then for callers to close their
   * connections, and closes the listener. Returns whether all requests ended within the limit and
   * the listener closed without an error.
   */
  boolean stop(long limitMillis) {
    boolean completed = false;
    long endNanos = clocks.nanos() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
    try {
      CompletableFuture<Void> closed = connector.shutdown();
      handler.whenIdle().get(limitMillis, TimeUnit.MILLISECONDS);
      completed = true;
      awaitClosed(closed, endNanos - clocks.nanos());
      connector.awaitCallers(Math.min(endNanos, clocks.nanos() + RECEIVE_NANOS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      completed = false;
    }
    try {
      server.stop();
    } catch (Exception e) {
      // The process exits anyway: all responses have been sent or the limit has been reached.
      return false;
    }
    return completed;
  }

  /**
   * Waits until callers have closed their connections. What the kernel holds of their responses is
   * lost if a connection is closed on which a further request has arrived or still arrives.
   */
  private static void awaitClosed(CompletableFuture<Void> closed, long limitNanos)
      throws InterruptedException, ExecutionException {
    try {
      closed.get(Math.max(0, limitNanos), TimeUnit.NANOSECONDS);
    } catch (TimeoutException e) {
      logger.atInfo().log("event=callers_left_open");
    }
  }

  private LingeringConnector createConnector(EntrySettings settings) throws IOException {
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setRequestHeaderSize(MAX_HEADER_BYTES);
    configuration.setResponseHeaderSize(MAX_HEADER_BYTES);
    configuration.setSendServerVersion(false);
    configuration.setSendDateHeader(false);
    configuration.setHttpCompliance(HttpCompliance.RFC9110);
    // The header cache takes 98 KB per connection: 1,900 connections filled a heap of 256 MB.
    configuration.setHeaderCacheSize(0);
    HttpConnectionFactory httpFactory = new HttpConnectionFactory(configuration);
    LingeringConnector listener;
    if (settings.tls().isPresent()) {
      configuration.addCustomizer(new SecureRequestCustomizer(false));
      listener =
          new LingeringConnector(
              server,
              clocks,
              DEFAULT_THREADS,
              DEFAULT_THREADS,
              new SslConnectionFactory(sslContextFactory(settings.tls().get()), "http/1.1"),
              httpFactory);
    } else {
      listener = new LingeringConnector(server, clocks, 1, 2, httpFactory);
    }
    listener.setHost(settings.host());
    listener.setPort(settings.callerPort());
    listener.setIdleTimeout(IDLE_MILLIS);
    listener.setAcceptQueueSize(ACCEPT_QUEUE);
    return listener;
  }

  private static SslContextFactory.Server sslContextFactory(EntrySettings.Tls tls)
      throws IOException {
    SslContextFactory.Server factory = new SslContextFactory.Server();
    factory.setKeyStorePath(tls.keyStore());
    factory.setKeyStoreType("PKCS12");
    factory.setKeyStorePassword(
        Files.readString(Path.of(tls.passwordFile()), StandardCharsets.UTF_8).strip());
    return factory;
  }
}
