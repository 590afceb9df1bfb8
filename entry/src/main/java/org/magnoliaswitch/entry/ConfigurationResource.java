package org.magnoliaswitch.entry;

import com.google.inject.Inject;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import java.io.IOException;
import java.util.List;
import java.util.TreeMap;
import org.magnoliaswitch.core.operator.ChangeReply;
import org.magnoliaswitch.core.operator.ChangeRequest;
import org.magnoliaswitch.core.operator.ChangeService;
import org.magnoliaswitch.core.operator.VersionView;
import org.magnoliaswitch.core.platform.PlatformException;
import org.magnoliaswitch.core.process.ConfigurationStore;
import org.magnoliaswitch.core.process.ControlPlane;

/** HTTP API for operators to read and change the configuration. */
@Path("configuration")
@Produces(MediaType.APPLICATION_JSON)
public final class ConfigurationResource {
  private static final int HISTORY_LIMIT = 50;

  private final ControlPlane control;
  private final ChangeService changes;

  @Inject
  ConfigurationResource(ControlPlane control) {
    this.control = control;
    this.changes = new ChangeService(control);
  }

  /** Returns the version in force at this instance, with all its declarations. */
  @GET
  public VersionView inForce() throws IOException {
    String digest = control.state().version().get().digest();
    return digest.isEmpty()
        ? new VersionView(0, "", "", "", new TreeMap<>())
        : changes.loadCached(digest);
  }

  /** Returns the latest accepted versions, newest first. */
  @GET
  @Path("history")
  public List<ConfigurationStore.Head> history() throws PlatformException {
    return control.store().history(HISTORY_LIMIT);
  }

  /** Returns the accepted version whose manifest has this digest. */
  @GET
  @Path("manifests/{digest}")
  public VersionView accepted(@PathParam("digest") String digest)
      throws IOException, PlatformException {
    return changes.loadStored(digest);
  }

  /** Submits a change of the configuration. */
  @POST
  @Path("changes")
  @Consumes(MediaType.APPLICATION_JSON)
  public ChangeReply change(ChangeRequest request) {
    return changes.submit(request);
  }
}
