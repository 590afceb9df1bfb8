package org.magnoliaswitch.core.process;

import java.io.IOException;
import java.util.Collection;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.connection.BackendConnection;
import org.magnoliaswitch.core.peer.LeavingMark;
import org.magnoliaswitch.core.version.ProbeBudget;
import org.magnoliaswitch.core.version.ServerState;

/**
 * Asks servers that were not heard of lately for their load, within the measuring budget.
 *
 * <p>Reports ride on every response, so probes are for quiet servers, ejected ones and those said
 * to leave. Each instance sends a server at most one probe per window, whose length follows from
 * the declared bound on instances; the budget over all instances then holds without any knowledge
 * of the others. Should more instances be seen than declared, the window grows with them.
 */
public final class Prober {
  /** Path of the load endpoint of backend servers. */
  public static final String LOAD_PATH = "/load";

  private static final int TIMEOUT_MILLIS = 200;

  /** A server heard of within this time needs no probe. */
  private static final long QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final ServiceRegistry registry;
  private final Membership membership;
  private final LeavingServers leaving;
  private final Timeline timeline;
  private final Clocks clocks;
  private final Runnable leavingNews;
  private final AtomicLong sent = new AtomicLong();

  public Prober(
      ServiceRegistry registry, ControlState control, Clocks clocks, Runnable leavingNews) {
    this.registry = registry;
    this.membership = control.membership();
    this.leaving = control.leaving();
    this.timeline = control.timeline();
    this.clocks = clocks;
    this.leavingNews = leavingNews;
  }

  /** Probes the servers that are due; called many times a second. */
  public void probeDue() {
    int instances = membership.size();
    Collection<ServiceState> services = registry.state().services().values();
    for (ServiceState service : services) {
      ProbeBudget budget = service.profile().measuring();
      long window = windowNanos(budget, instances);
      for (ServerHandle handle : service.servers()) {
        long now = clocks.nanos();
        if (wanted(handle, now, window) && handle.load().claimProbe(now, window)) {
          Thread.ofVirtual().name("probe").start(() -> probe(service, handle));
        }
      }
    }
  }

  /** Probes sent so far. */
  public long sent() {
    return sent.get();
  }

  /** Least time between two probes of one server by this instance. */
  static long windowNanos(ProbeBudget budget, int instances) {
    double factor = Math.max(1.0, (double) instances / budget.maxInstances());
    return (long) (TimeUnit.MILLISECONDS.toNanos(budget.minIntervalMillis()) * factor);
  }

  /** A server that is full or has asked for a pause gets no probe: that would take capacity. */
  private static boolean wanted(ServerHandle handle, long now, long window) {
    ServerLoad load = handle.load();
    boolean quiet = now - load.lastHeardNanos() > Math.min(QUIET_NANOS, window);
    LoadReport last = load.lastReport().report();
    boolean full = load.inFlight() > 0 && last.requests() >= last.slots();
    return handle.server().state() == ServerState.ACTIVE
        && quiet
        && !full
        && !load.pause().active(now);
  }

  private void probe(ServiceState service, ServerHandle handle) {
    sent.incrementAndGet();
    try {
      BackendConnection connection = handle.pool().take(Long.MAX_VALUE, TIMEOUT_MILLIS);
      boolean whole = false;
      try {
        whole = exchange(service, handle, connection);
      } finally {
        if (whole) {
          handle.pool().giveBack(connection);
        } else {
          handle.pool().discard(connection);
        }
      }
    } catch (IOException | HttpException e) {
      timeline.record(EventKind.PROBE, "", service.service().name(), handle.id(), "failed=true");
    }
  }

  private boolean exchange(ServiceState service, ServerHandle handle, BackendConnection connection)
      throws IOException, HttpException {
    connection.readTimeout(TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS));
    BasicClassicHttpRequest request = new BasicClassicHttpRequest("GET", LOAD_PATH);
    request.setHeader("Host", handle.server().host() + ':' + handle.server().port());
    connection.send(request);
    ClassicHttpResponse response = connection.receiveHead();
    connection.receiveBody(response);
    if (response.getEntity() != null) {
      response.getEntity().getContent().readAllBytes();
    }
    Header header = response.getFirstHeader(LoadReport.HEADER);
    if (response.getCode() == HttpStatus.SC_OK && header != null && header.getValue() != null) {
      LoadReport.parse(header.getValue()).ifPresent(told -> take(service, handle, told));
    }
    return true;
  }

  private void take(ServiceState service, ServerHandle handle, LoadReport told) {
    handle.load().reported(told, clocks.nanos());
    boolean news =
        told.draining()
            ? leaving.noticed(handle.id(), LeavingMark.Sign.REPORT)
            : leaving.returned(handle.id(), LeavingMark.Sign.REPORT);
    if (news) {
      timeline.record(
          EventKind.SERVER_LEAVING,
          "",
          service.service().name(),
          handle.id(),
          "sign=probe leaving=" + told.draining());
      leavingNews.run();
    }
  }
}
