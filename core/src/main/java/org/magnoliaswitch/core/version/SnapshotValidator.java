package org.magnoliaswitch.core.version;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks ranges, formats and references of declarations that have been parsed. */
final class SnapshotValidator {
  private static final String NAME = "[a-z][a-z0-9-]{0,62}";
  private static final String IP = "[0-9.]{7,15}|[0-9a-fA-F:]{2,45}";
  private static final int MAX_WEIGHT = 100;
  private static final int MAX_DEADLINE_MILLIS = 600_000;
  private static final int MAX_PORT = 65_535;
  private static final int MIN_RETENTION_SECONDS = 30;
  private static final int MAX_RETENTION_SECONDS = 7 * 24 * 3_600;

  private SnapshotValidator() {}

  static List<Problem> checkProfile(String file, Profile profile) {
    Validator validator = new Validator(file);
    validator.requireMatch("name", profile.name(), NAME);
    if (profile.routing() instanceof RoutingPolicy.FreshLoad fresh) {
      validator.requireRange("routing.candidates", fresh.candidates(), 2, 64);
      validator.requireRange(
          "routing.reportHalfLifeMillis", fresh.reportHalfLifeMillis(), 1, 60_000);
      validator.requireRange("routing.remotePenaltyMillis", fresh.remotePenaltyMillis(), 0, 1_000);
    }
    validator.requireRange(
        "measuring.probesPerSecond", profile.measuring().probesPerSecond(), 0.1, 1_000);
    validator.requireRange("measuring.maxInstances", profile.measuring().maxInstances(), 1, 10_000);
    validator.requireRange("admission.loadPerSlot", profile.admission().loadPerSlot(), 0.5, 10);
    validator.requireRange("admission.maxQueue", profile.admission().maxQueue(), 0, 100_000);
    validator.requireRange("retry.budgetRatio", profile.retry().budgetRatio(), 0, 0.5);
    validator.requireRange("retry.maxAttempts", profile.retry().maxAttempts(), 1, 5);
    validator.requireRange("retry.hedgeQuantile", profile.retry().hedgeQuantile(), 0.5, 0.9999);
    validator.requireRange(
        "keys.retentionSeconds",
        profile.keys().retentionSeconds(),
        MIN_RETENTION_SECONDS,
        MAX_RETENTION_SECONDS);
    validator.requireRange("keys.claimWindowMillis", profile.keys().claimWindowMillis(), 0, 1_000);
    for (int status : profile.refusalStatuses()) {
      validator.requireRange("refusalStatuses", status, 400, 599);
    }
    validator.require(!profile.kinds().isEmpty(), "kinds", "[]", "expected at least one kind");
    Set<String> names = new HashSet<>();
    for (int i = 0; i < profile.kinds().size(); i++) {
      checkKind(validator, "kinds[" + i + "]", profile.kinds().get(i), names);
    }
    return validator.problems();
  }

  private static void checkKind(
      Validator validator, String path, RequestKind kind, Set<String> names) {
    validator.requireMatch(path + ".name", kind.name(), NAME);
    validator.require(
        names.add(kind.name()), path + ".name", kind.name(), "expected a unique name");
    validator.requireMatch(path + ".method", kind.method(), "[A-Z]{3,10}");
    validator.requireMatch(path + ".pathPrefix", kind.pathPrefix(), "/[A-Za-z0-9/_.-]*");
    validator.requireRange(path + ".harmWeight", kind.harmWeight(), 0.01, MAX_WEIGHT);
    validator.requireRange(path + ".deadlineMillis", kind.deadlineMillis(), 1, MAX_DEADLINE_MILLIS);
  }

  static List<Problem> checkService(String file, Service service) {
    Validator validator = new Validator(file);
    validator.requireMatch("name", service.name(), NAME);
    validator.requireMatch("pathPrefix", service.pathPrefix(), "/[A-Za-z0-9/_.-]*[A-Za-z0-9_-]");
    validator.requireRange("maxDrainShare", service.maxDrainShare(), 0, 1);
    boolean active =
        service.servers().stream().anyMatch(server -> server.state() == ServerState.ACTIVE);
    validator.require(
        active, "servers", "no active server", "expected at least one server in state ACTIVE");
    for (int i = 0; i < service.servers().size(); i++) {
      checkServer(validator, "servers[" + i + "]", service.servers().get(i));
    }
    return validator.problems();
  }

  private static void checkServer(Validator validator, String path, BackendServer server) {
    validator.requireMatch(path + ".id", server.id(), "[a-z][a-z0-9.-]{0,62}");
    validator.requireMatch(path + ".dataCentre", server.dataCentre(), NAME);
    validator.requireMatch(path + ".host", server.host(), IP);
    validator.requireRange(path + ".port", server.port(), 1, MAX_PORT);
    validator.requireRange(path + ".slots", server.slots(), 1, 10_000);
    validator.requireRange(path + ".connections", server.connections(), 1, 100_000);
  }

  static List<Problem> checkReferences(
      Map<String, Profile> profiles, Map<String, Service> services) {
    List<Problem> problems = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    Set<String> prefixes = new HashSet<>();
    for (Service service : services.values()) {
      String file = "services/" + service.name();
      if (!profiles.containsKey(service.profile())) {
        problems.add(
            new Problem(
                file + ": profile", service.profile(), "expected one of " + profiles.keySet()));
      }
      if (!prefixes.add(service.pathPrefix())) {
        problems.add(
            new Problem(
                file + ": pathPrefix", service.pathPrefix(), "expected a unique path prefix"));
      }
      for (BackendServer server : service.servers()) {
        if (!ids.add(server.id())) {
          problems.add(new Problem(file + ": servers", server.id(), "expected a unique id"));
        }
      }
    }
    return problems;
  }
}
