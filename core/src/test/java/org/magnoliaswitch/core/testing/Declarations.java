package org.magnoliaswitch.core.testing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

/** Small valid declarations for tests. */
public final class Declarations {
  /** An idempotent read. */
  public static final RequestKind READ =
      new RequestKind("read", "GET", "/", Execution.IDEMPOTENT, 1, 1_000);

  /** A booking that is executed at most once. */
  public static final RequestKind BOOK =
      new RequestKind("book", "POST", "/book", Execution.AT_MOST_ONCE, 10, 2_000);

  /** Parameters of the fresh-load routing policy. */
  public static final RoutingPolicy.FreshLoad FRESH_LOAD = new RoutingPolicy.FreshLoad(5, 60, 2);

  private Declarations() {}

  /** Returns a profile with the kinds {@link #BOOK} and {@link #READ}. */
  public static Profile profile() {
    return new Profile(
        "standard",
        FRESH_LOAD,
        new ProbeBudget(5, 40),
        new AdmissionPolicy(1.5, 100, true),
        new RetryPolicy(0.1, 3, false, 0.95),
        new KeyPolicy(true, 900, 5, true),
        List.of(503),
        List.of(BOOK, READ));
  }

  /** Returns a service with a server on each of the given ports. */
  public static Service service(int... ports) {
    List<BackendServer> servers = new ArrayList<>();
    for (int port : ports) {
      servers.add(server("server-" + port, port));
    }
    return new Service("booking", "/booking", "standard", 0.5, servers);
  }

  /** Returns a server on the loopback address. */
  public static BackendServer server(String id, int port) {
    return new BackendServer(id, "dc-1", "127.0.0.1", port, 6, 250, ServerState.ACTIVE);
  }

  /** Returns a profile and a service as the parts of a version. */
  public static Map<String, byte[]> parts(Profile profile, Service service) {
    Map<String, byte[]> parts = new HashMap<>();
    parts.put("profiles/" + profile.name() + ".json", json(profile));
    parts.put("services/" + service.name() + ".json", json(service));
    return parts;
  }

  /** Returns a value as JSON. */
  public static byte[] json(Object value) {
    try {
      return Json.MAPPER.writeValueAsString(value).getBytes(StandardCharsets.UTF_8);
    } catch (java.io.IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
