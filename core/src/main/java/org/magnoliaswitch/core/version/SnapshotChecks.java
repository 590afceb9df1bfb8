package org.magnoliaswitch.core.version;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks of the meaning of declarations, beyond their shape. */
final class SnapshotChecks {
  private static final String NAME = "[a-z][a-z0-9-]{0,62}";
  private static final String IP = "[0-9.]{7,15}|[0-9a-fA-F:]{2,45}";
  private static final int MAX_WEIGHT = 100;
  private static final int MAX_DEADLINE_MILLIS = 600_000;
  private static final int MAX_PORT = 65_535;
  private static final int MIN_RETENTION_SECONDS = 30;
  private static final int MAX_RETENTION_SECONDS = 7 * 24 * 3_600;

  private SnapshotChecks() {}

  static List<Problem> profile(String file, Profile profile) {
    Checks checks = new Checks(file);
    checks.text("name", profile.name(), NAME);
    if (profile.routing() instanceof RoutingPolicy.FreshLoad fresh) {
      checks.range("routing.candidates", fresh.candidates(), 2, 64);
      checks.range("routing.reportHalfLifeMillis", fresh.reportHalfLifeMillis(), 1, 60_000);
      checks.range("routing.remotePenaltyMillis", fresh.remotePenaltyMillis(), 0, 1_000);
    }
    checks.range("measuring.probesPerSecond", profile.measuring().probesPerSecond(), 0.1, 1_000);
    checks.range("measuring.maxInstances", profile.measuring().maxInstances(), 1, 10_000);
    checks.range("admission.loadPerSlot", profile.admission().loadPerSlot(), 0.5, 10);
    checks.range("admission.maxQueue", profile.admission().maxQueue(), 0, 100_000);
    checks.range("retry.budgetRatio", profile.retry().budgetRatio(), 0, 0.5);
    checks.range("retry.maxAttempts", profile.retry().maxAttempts(), 1, 5);
    checks.range("retry.hedgeQuantile", profile.retry().hedgeQuantile(), 0.5, 0.9999);
    checks.range(
        "keys.retentionSeconds",
        profile.keys().retentionSeconds(),
        MIN_RETENTION_SECONDS,
        MAX_RETENTION_SECONDS);
    checks.range("keys.claimWindowMillis", profile.keys().claimWindowMillis(), 0, 1_000);
    for (int status : profile.refusalStatuses()) {
      checks.range("refusalStatuses", status, 400, 599);
    }
    checks.holds(!profile.kinds().isEmpty(), "kinds", "[]", "at least one kind");
    Set<String> names = new HashSet<>();
    for (int i = 0; i < profile.kinds().size(); i++) {
      kind(checks, "kinds[" + i + "]", profile.kinds().get(i), names);
    }
    return checks.problems();
  }

  private static void kind(Checks checks, String path, RequestKind kind, Set<String> names) {
    checks.text(path + ".name", kind.name(), NAME);
    checks.holds(names.add(kind.name()), path + ".name", kind.name(), "a name used once");
    checks.text(path + ".method", kind.method(), "[A-Z]{3,10}");
    checks.text(path + ".pathPrefix", kind.pathPrefix(), "/[A-Za-z0-9/_.-]*");
    checks.range(path + ".harmWeight", kind.harmWeight(), 0.01, MAX_WEIGHT);
    checks.range(path + ".deadlineMillis", kind.deadlineMillis(), 1, MAX_DEADLINE_MILLIS);
  }

  static List<Problem> service(String file, Service service) {
    Checks checks = new Checks(file);
    checks.text("name", service.name(), NAME);
    checks.text("pathPrefix", service.pathPrefix(), "/[A-Za-z0-9/_.-]*[A-Za-z0-9_-]");
    checks.range("maxDrainShare", service.maxDrainShare(), 0, 1);
    boolean active =
        service.servers().stream().anyMatch(server -> server.state() == ServerState.ACTIVE);
    checks.holds(active, "servers", "no active server", "at least one server in state ACTIVE");
    for (int i = 0; i < service.servers().size(); i++) {
      server(checks, "servers[" + i + "]", service.servers().get(i));
    }
    return checks.problems();
  }

  private static void server(Checks checks, String path, BackendServer server) {
    checks.text(path + ".id", server.id(), "[a-z][a-z0-9.-]{0,62}");
    checks.text(path + ".dataCentre", server.dataCentre(), NAME);
    checks.text(path + ".host", server.host(), IP);
    checks.range(path + ".port", server.port(), 1, MAX_PORT);
    checks.range(path + ".slots", server.slots(), 1, 10_000);
    checks.range(path + ".connections", server.connections(), 1, 100_000);
  }

  static List<Problem> across(Map<String, Profile> profiles, Map<String, Service> services) {
    List<Problem> problems = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    Set<String> prefixes = new HashSet<>();
    for (Service service : services.values()) {
      String file = "services/" + service.name();
      if (!profiles.containsKey(service.profile())) {
        problems.add(
            new Problem(file + ": profile", service.profile(), "one of " + profiles.keySet()));
      }
      if (!prefixes.add(service.pathPrefix())) {
        problems.add(
            new Problem(file + ": pathPrefix", service.pathPrefix(), "a prefix used once"));
      }
      for (BackendServer server : service.servers()) {
        if (!ids.add(server.id())) {
          problems.add(new Problem(file + ": servers", server.id(), "an id used once"));
        }
      }
    }
    return problems;
  }
}
