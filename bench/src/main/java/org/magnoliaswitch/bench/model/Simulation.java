package org.magnoliaswitch.bench.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.magnoliaswitch.front.version.ServerEntry;

/** The state of one replay: time, random numbers, servers and metrics. */
final class Simulation {
  private static final double NEAR_MILLIS = 0.2;

  private final VirtualTime time = new VirtualTime();
  private final Deployment deployment;
  private final Random random;
  private final Map<String, List<ModelServer>> servers = new LinkedHashMap<>();
  private final ReplayMetrics metrics = new ReplayMetrics();

  Simulation(LoadPattern pattern, long seed) {
    this.deployment = pattern.deployment();
    this.random = new Random(seed);
    for (Map.Entry<String, Integer> service : pattern.deployment().servers()) {
      servers.put(service.getKey(), servers(service.getKey(), service.getValue(), pattern));
    }
  }

  private List<ModelServer> servers(String service, int count, LoadPattern pattern) {
    List<ModelServer> list = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ServerEntry entry =
          new ServerEntry(
              service + "-" + i,
              ServerEntry.UNKNOWN_START,
              service,
              "127.0.0.1",
              1,
              dataCentre(i),
              deployment.traits().slots(),
              false,
              0);
      list.add(new ModelServer(entry, pattern, time, random));
    }
    return list;
  }

  Deployment deployment() {
    return deployment;
  }

  VirtualTime time() {
    return time;
  }

  Random random() {
    return random;
  }

  List<ModelServer> servers(String service) {
    return servers.getOrDefault(service, List.of());
  }

  Iterable<List<ModelServer>> services() {
    return servers.values();
  }

  ReplayMetrics metrics() {
    return metrics;
  }

  String dataCentre(int index) {
    return "dc-" + index % deployment.demand().dataCentres();
  }

  /** Returns the network latency in one direction between an instance and a server. */
  double networkMillis(int instance, ModelServer server) {
    return dataCentre(instance).equals(server.entry().dataCentre())
        ? NEAR_MILLIS
        : deployment.demand().farMillis();
  }
}
