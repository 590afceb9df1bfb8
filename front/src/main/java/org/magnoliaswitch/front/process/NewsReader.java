package org.magnoliaswitch.front.process;

import java.util.random.RandomGenerator;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServerList;

/**
 * Reads configuration and discovery from the source; runs on the control event loop.
 *
 * <p>Configuration is awaited, with a plain read after each failure and now and then for safety: a
 * wait can go deaf. Discovery changes with every heartbeat, so it is read at intervals that leave
 * most of the time in which a leaving server must be noticed.
 */
public final class NewsReader {
  private static final long SERVERS_EVERY_MILLIS = 700;
  private static final long RETRY_MIN_MILLIS = 300;
  private static final long RETRY_SPAN_MILLIS = 400;

  private final NewsSource source;
  private final Beliefs beliefs;
  private final Loop loop;
  private final Clocks clocks;
  private final RandomGenerator random;
  private final EventLog log;
  private final DiscoveryKeeper keeper = new DiscoveryKeeper();
  private boolean sourceLost;

  public NewsReader(
      NewsSource source,
      Beliefs beliefs,
      Loop loop,
      Clocks clocks,
      RandomGenerator random,
      EventLog log) {
    this.source = source;
    this.beliefs = beliefs;
    this.loop = loop;
    this.clocks = clocks;
    this.random = random;
    this.log = log;
  }

  /** Begins to read. */
  public void start() {
    loop.execute(this::readConfiguration);
    loop.execute(this::readServers);
  }

  private void readConfiguration() {
    source.configuration(this::configurationRead);
  }

  private void awaitConfiguration() {
    source.nextConfiguration(this::configurationRead);
  }

  private void configurationRead(NewsSource.Read<RouteTable> read) {
    switch (read) {
      case NewsSource.Read.Known<RouteTable> known -> {
        beliefs.offer(known.value(), "store");
        awaitConfiguration();
      }
      case NewsSource.Read.Unchanged<RouteTable> unchanged -> awaitConfiguration();
      case NewsSource.Read.Failed<RouteTable> failed -> {
        lost("configuration", failed.reason());
        later(this::readConfiguration, retryMillis());
      }
    }
  }

  private void readServers() {
    source.servers(this::serversRead);
  }

  private void serversRead(NewsSource.Read<ServerList> read) {
    switch (read) {
      case NewsSource.Read.Known<ServerList> known -> {
        regained();
        beliefs.offer(keeper.read(known.value(), clocks.nanos()));
        later(this::readServers, SERVERS_EVERY_MILLIS);
      }
      case NewsSource.Read.Unchanged<ServerList> unchanged ->
          later(this::readServers, SERVERS_EVERY_MILLIS);
      case NewsSource.Read.Failed<ServerList> failed -> {
        keeper.failed();
        lost("servers", failed.reason());
        later(this::readServers, retryMillis());
      }
    }
  }

  private void later(Runnable action, long millis) {
    loop.afterMillis(millis, action);
  }

  private long retryMillis() {
    return RETRY_MIN_MILLIS + random.nextLong(RETRY_SPAN_MILLIS);
  }

  private void lost(String what, String reason) {
    if (!sourceLost) {
      log.belief("source_lost", "reading=%s reason=%s", what, reason);
    }
    sourceLost = true;
  }

  private void regained() {
    if (sourceLost) {
      log.belief("source_regained", "routes=%d", beliefs.routesVersion());
    }
    sourceLost = false;
  }
}
