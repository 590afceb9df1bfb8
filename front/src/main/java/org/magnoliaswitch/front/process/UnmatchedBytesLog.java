package org.magnoliaswitch.front.process;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.connection.ServerConnection;
import org.magnoliaswitch.front.connection.UnmatchedBytes;
import org.magnoliaswitch.front.connection.UnmatchedBytesListener;
import org.magnoliaswitch.front.version.ServerEntry;

/** Logs and counts what servers send besides the responses to requests. */
public final class UnmatchedBytesLog implements UnmatchedBytesListener {
  private final EventLog log;
  private final FrontMetrics metrics;

  public UnmatchedBytesLog(EventLog log, FrontMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  @Override
  public void received(ServerEntry server, ServerConnection connection, UnmatchedBytes bytes) {
    metrics.count("unmatched.bytes", server.service(), bytes.kind().label());
    log.failure("unmatched_bytes")
        .add("request", bytes.lastId())
        .add("service", server.service())
        .add("server", server.id())
        .add("kind", bytes.kind().label())
        .add("echoed", bytes.echoedId())
        .add("status", bytes.status())
        .add("exchange", connection.exchanges())
        .add("connection_age_ms", TimeUnit.NANOSECONDS.toMillis(connection.ageNanos()))
        .add("relay", connection.relay().map(InetSocketAddress::getHostString).orElse("-"))
        .write();
  }
}
