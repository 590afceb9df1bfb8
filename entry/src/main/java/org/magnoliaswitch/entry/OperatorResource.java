package org.magnoliaswitch.entry;

import com.google.inject.Inject;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.util.List;
import org.magnoliaswitch.core.operator.InstanceStatus;
import org.magnoliaswitch.core.peer.LeavingNotice;
import org.magnoliaswitch.core.process.ControlPlane;
import org.magnoliaswitch.core.process.EventKind;
import org.magnoliaswitch.core.process.TimelineEvent;
import org.magnoliaswitch.core.version.Snapshot;

/** HTTP API for operators of one instance: health, readiness, metrics, status and timeline. */
@Path("/")
@Produces(MediaType.APPLICATION_JSON)
public final class OperatorResource {
  private final ControlPlane control;
  private final EntryMetrics metrics;

  @Inject
  OperatorResource(ControlPlane control, EntryMetrics metrics) {
    this.control = control;
    this.metrics = metrics;
  }

  /** Returns a constant response while the process runs. */
  @GET
  @Path("health")
  @Produces(MediaType.TEXT_PLAIN)
  public String health() {
    return "ok\n";
  }

  /** Returns status 200 if the instance may receive requests, otherwise 503 and the reason. */
  @GET
  @Path("ready")
  @Produces(MediaType.TEXT_PLAIN)
  public Response ready() {
    if (control.ready()) {
      return Response.ok("ready\n").build();
    }
    String reason =
        control.state().membership().leaving()
            ? "stopping"
            : "no configuration version: neither the store nor a peer gave one";
    return Response.status(Response.Status.SERVICE_UNAVAILABLE).entity(reason + '\n').build();
  }

  /** Returns the metrics in the text format of Prometheus. */
  @GET
  @Path("metrics")
  @Produces(MediaType.TEXT_PLAIN)
  public String metrics() {
    return metrics.scrape();
  }

  /** Returns the status of this instance and the live peers that it knows. */
  @GET
  @Path("status")
  public InstanceStatus status() {
    Snapshot snapshot = control.state().version().get();
    return new InstanceStatus(
        control.state().membership().self(),
        snapshot.version(),
        snapshot.digest(),
        control.state().membership().livePeers());
  }

  /** Returns the recent events of this instance. */
  @GET
  @Path("timeline")
  public List<TimelineEvent> timeline() {
    return control.state().timeline().events();
  }

  /**
   * Stops new requests to a server: at this instance at once, at its peers when the notice reaches
   * them by gossip. This also works while the store is unavailable. The notice expires after its
   * lifetime, see {@link org.magnoliaswitch.core.process.LeavingServers}, unless the operator
   * repeats it.
   */
  @POST
  @Path("servers/{id}/leaving")
  public Response markLeaving(@PathParam("id") String id) {
    if (control.state().leaving().markLeaving(id, LeavingNotice.Source.OPERATOR)) {
      control.state().timeline().record(EventKind.SERVER_LEAVING, "", "", id, "sign=operator");
      control.gossip().pushUpdate();
    }
    return Response.noContent().build();
  }
}
