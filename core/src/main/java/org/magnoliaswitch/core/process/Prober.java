package org.magnoliaswitch.core.process;

import java.io.IOException;
import java.util.Collection;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.connection.BackendConnection;
import org.magnoliaswitch.core.peer.LeavingNotice;
import org.magnoliaswitch.core.version.ProbeBudget;
import org.magnoliaswitch.core.version.ServerState;

/**
 * Requests load reports from servers without recent contact, within the probe budget.
 *
 * <p>Every response carries a report, so probes are for servers without requests, ejected servers
 * and servers said to be leaving. Each instance sends a server at most one probe per interval,
 * whose length follows from the declared maximum number of instances; the budget of all instances
 * together therefore holds without any knowledge of the others. If more instances are seen than
 * declared, the interval grows with their number.
 */
public final class Prober {
  /** Path of the load endpoint of backend servers. */
  public static final String LOAD_PATH = "/load";

  private static final int TIMEOUT_MILLIS = 200;

  /** Size at which the body of a response to a probe is no longer read. */
  private static final int MAX_BODY_BYTES = 64 << 10;

  /** A server with a contact within this time needs no probe. */
  private static final long RECENT_CONTACT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final ServiceRegistry registry;
  private final Membership membership;
  private final LeavingServers leaving;
  private final Timeline timeline;
  private final RefusedResponses refusedResponses;
  private final Clocks clocks;
  private final Runnable onLeavingChange;
  private final AtomicLong probesSent = new AtomicLong();

  public Prober(
      ServiceRegistry registry, ControlState control, Clocks clocks, Runnable onLeavingChange) {
    this.registry = registry;
    this.membership = control.membership();
    this.leaving = control.leaving();
    this.timeline = control.timeline();
    this.refusedResponses = control.refusedResponses();
    this.clocks = clocks;
    this.onLeavingChange = onLeavingChange;
  }

  /** Probes the servers that are due; called many times per second. */
  public void probeDueServers() {
    int instances = membership.size();
    Collection<ServiceState> services = registry.state().services().values();
    for (ServiceState service : services) {
      ProbeBudget budget = service.profile().measuring();
      long minInterval = minIntervalNanos(budget, instances);
      for (ServerHandle handle : service.servers()) {
        long now = clocks.nanos();
        if (needsProbe(handle, now, minInterval) && handle.load().tryClaimProbe(now, minInterval)) {
          Thread.ofVirtual().name("probe").start(() -> probe(service, handle));
        }
      }
    }
  }

  /** Returns the number of probes sent so far. */
  public long probesSent() {
    return probesSent.get();
  }

  /** Returns the minimum time between two probes of a server by this instance. */
  static long minIntervalNanos(ProbeBudget budget, int instances) {
    double factor = Math.max(1.0, (double) instances / budget.maxInstances());
    return (long) (TimeUnit.MILLISECONDS.toNanos(budget.minIntervalMillis()) * factor);
  }

  /**
   * Returns whether a server needs a probe. A server that is full or has requested a pause gets
   * none, since a probe would use its capacity.
   */
  private static boolean needsProbe(ServerHandle handle, long now, long minInterval) {
    ServerLoad load = handle.load();
    boolean noRecentContact =
        now - load.lastContactNanos() > Math.min(RECENT_CONTACT_NANOS, minInterval);
    LoadReport last = load.lastReport().report();
    boolean full = load.inFlight() > 0 && last.requests() >= last.slots();
    return handle.server().state() == ServerState.ACTIVE
        && noRecentContact
        && !full
        && !load.pause().active(now);
  }

  /** Sends one probe and waits for its end. */
  void probe(ServiceState service, ServerHandle handle) {
    String id = "probe-" + probesSent.incrementAndGet();
    // A server that leaves the id out of its responses to probes gets each on a new connection.
    long maxIdleNanos = handle.load().identifiesProbes() ? Long.MAX_VALUE : 0;
    try {
      BackendConnection connection = handle.pool().acquire(maxIdleNanos, TIMEOUT_MILLIS, id);
      boolean complete = false;
      try {
        complete = exchange(service, handle, connection, id);
      } finally {
        handle.load().recordIdentifiesProbes(connection.identified());
        refusedResponses.record(connection.refused(), service.service().name(), handle.id());
        if (complete) {
          handle.pool().release(connection);
        } else {
          handle.pool().discard(connection);
        }
      }
    } catch (IOException | HttpException e) {
      timeline.record(EventKind.PROBE, "", service.service().name(), handle.id(), "failed=true");
    }
  }

  private boolean exchange(
      ServiceState service, ServerHandle handle, BackendConnection connection, String id)
      throws IOException, HttpException {
    connection.setReadTimeout(TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS));
    BasicClassicHttpRequest request = new BasicClassicHttpRequest("GET", LOAD_PATH);
    request.setHeader("Host", handle.server().host() + ':' + handle.server().port());
    request.setHeader(BackendConnection.ID_HEADER, id);
    connection.send(request);
    ClassicHttpResponse response = connection.receiveHead();
    connection.receiveBody(response);
    boolean complete = response.getEntity() == null || readBody(response.getEntity());
    Header header = response.getFirstHeader(LoadReport.HEADER);
    if (response.getCode() == HttpStatus.SC_OK && header != null && header.getValue() != null) {
      LoadReport.parse(header.getValue()).ifPresent(report -> applyReport(service, handle, report));
    }
    return complete;
  }

  /** Reads the body of a response to a probe; returns whether that is all of it. */
  private static boolean readBody(HttpEntity entity) throws IOException {
    return entity.getContent().readNBytes(MAX_BODY_BYTES).length < MAX_BODY_BYTES;
  }

  private void applyReport(ServiceState service, ServerHandle handle, LoadReport report) {
    handle.load().recordReport(report, clocks.nanos());
    boolean changed =
        report.draining()
            ? leaving.markLeaving(handle.id(), LeavingNotice.Source.REPORT)
            : leaving.markReturned(handle.id(), LeavingNotice.Source.REPORT);
    if (changed) {
      timeline.record(
          EventKind.SERVER_LEAVING,
          "",
          service.service().name(),
          handle.id(),
          "sign=probe leaving=" + report.draining());
      onLeavingChange.run();
    }
  }
}
