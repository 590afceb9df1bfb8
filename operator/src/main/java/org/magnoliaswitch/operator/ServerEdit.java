package org.magnoliaswitch.operator;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.magnoliaswitch.core.version.BackendServer;
import org.magnoliaswitch.core.version.Json;
import org.magnoliaswitch.core.version.ServerState;
import org.magnoliaswitch.core.version.Service;

/** A change of one backend server in the declarations of its service. */
sealed interface ServerEdit {
  int EXIT_FAILURE = 1;

  /** Stops new requests to a server. */
  record Drain(String server, boolean confirmed) implements ServerEdit {}

  /** Resumes requests to a draining server. */
  record Activate(String server) implements ServerEdit {}

  /** Removes a server. */
  record Retire(String server, boolean confirmed) implements ServerEdit {}

  /** Adds a server to a service. */
  record Add(String service, BackendServer server) implements ServerEdit {}

  /** Applies the change to the declarations, a map from path to JSON text. */
  default void apply(Map<String, String> parts) throws OperatorException {
    boolean changed = false;
    for (Map.Entry<String, String> part : parts.entrySet()) {
      if (part.getKey().startsWith("services/")) {
        Service before = read(part);
        List<BackendServer> servers = editServers(before);
        if (!servers.equals(before.servers())) {
          checkDrainShare(before, servers);
          part.setValue(write(before.withServers(servers)));
          changed = true;
        }
      }
    }
    if (!changed) {
      throw new OperatorException(
          EXIT_FAILURE,
          "nothing to change: no such server or service, or it is already in this state");
    }
  }

  private List<BackendServer> editServers(Service service) {
    List<BackendServer> servers = new ArrayList<>();
    for (BackendServer server : service.servers()) {
      switch (this) {
        case Drain drain when server.id().equals(drain.server()) ->
            servers.add(server.withState(ServerState.DRAINING));
        case Activate activate when server.id().equals(activate.server()) ->
            servers.add(server.withState(ServerState.ACTIVE));
        case Retire retire when server.id().equals(retire.server()) -> {
          // The server is removed by not adding it.
        }
        default -> servers.add(server);
      }
    }
    if (this instanceof Add add && add.service().equals(service.name())) {
      servers.add(add.server());
    }
    return servers;
  }

  private void checkDrainShare(Service before, List<BackendServer> after) throws OperatorException {
    long active = after.stream().filter(s -> s.state() == ServerState.ACTIVE).count();
    double inactiveShare = 1 - (double) active / Math.max(1, before.servers().size());
    if (!confirmed() && inactiveShare > before.maxDrainShare()) {
      throw new OperatorException(
          EXIT_FAILURE,
          "only "
              + active
              + " of "
              + before.servers().size()
              + " servers of "
              + before.name()
              + " would stay active, fewer than maxDrainShare allows; repeat with --yes to confirm");
    }
  }

  private boolean confirmed() {
    return switch (this) {
      case Drain drain -> drain.confirmed();
      case Retire retire -> retire.confirmed();
      case Activate activate -> true;
      case Add add -> true;
    };
  }

  private static Service read(Map.Entry<String, String> part) throws OperatorException {
    try {
      return Json.MAPPER.readValue(part.getValue(), Service.class);
    } catch (IOException e) {
      throw new OperatorException(
          EXIT_FAILURE, "cannot parse " + part.getKey() + ": " + e.getMessage());
    }
  }

  private static String write(Service service) {
    try {
      return Json.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(service) + '\n';
    } catch (IOException e) {
      throw new IllegalStateException("a service must be serializable as JSON", e);
    }
  }
}
