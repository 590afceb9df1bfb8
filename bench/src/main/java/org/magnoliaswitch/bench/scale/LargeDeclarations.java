package org.magnoliaswitch.bench.scale;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliaswitch.core.version.AdmissionPolicy;
import org.magnoliaswitch.core.version.BackendServer;
import org.magnoliaswitch.core.version.Execution;
import org.magnoliaswitch.core.version.Json;
import org.magnoliaswitch.core.version.KeyPolicy;
import org.magnoliaswitch.core.version.ProbeBudget;
import org.magnoliaswitch.core.version.Profile;
import org.magnoliaswitch.core.version.RequestKind;
import org.magnoliaswitch.core.version.RetryPolicy;
import org.magnoliaswitch.core.version.RoutingPolicy;
import org.magnoliaswitch.core.version.ServerState;
import org.magnoliaswitch.core.version.Service;

/** Generates declarations of a given number of services and backend servers. */
final class LargeDeclarations {
  private static final int PORTS = 60_000;

  private LargeDeclarations() {}

  static Map<String, String> of(int services, int servers, int change)
      throws JsonProcessingException {
    Map<String, String> parts = new TreeMap<>();
    parts.put("profiles/standard.json", Json.MAPPER.writeValueAsString(profile()));
    for (int s = 0; s < services; s++) {
      List<BackendServer> serviceServers = new ArrayList<>();
      for (int i = s; i < servers; i += services) {
        ServerState state =
            s == change % services && i >= services && i % 7 == change % 7
                ? ServerState.DRAINING
                : ServerState.ACTIVE;
        serviceServers.add(
            new BackendServer(
                "s" + s + "-" + i,
                "dc-" + i % 12,
                "10.0." + s + "." + i % 250,
                1 + i % PORTS,
                6,
                250,
                state));
      }
      String name = "service-" + s;
      parts.put(
          "services/" + name + ".json",
          Json.MAPPER.writeValueAsString(
              new Service(name, "/" + name, "standard", 0.3, serviceServers)));
    }
    return parts;
  }

  private static Profile profile() {
    return new Profile(
        "standard",
        new RoutingPolicy.FreshLoad(5, 60, 2),
        new ProbeBudget(0.1, 10_000),
        new AdmissionPolicy(1.5, 200, true),
        new RetryPolicy(0.1, 3, true, 0.95),
        new KeyPolicy(true, 900, 30, true),
        List.of(503),
        List.of(new RequestKind("read", "GET", "/", Execution.IDEMPOTENT, 1, 1_000)));
  }
}
