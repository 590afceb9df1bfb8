package org.magnoliaswitch.bench.scale;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.operator.ChangeReply;
import org.magnoliaswitch.core.operator.ChangeRequest;
import org.magnoliaswitch.core.operator.ChangeService;
import org.magnoliaswitch.core.peer.Address;
import org.magnoliaswitch.core.peer.PeerSecret;
import org.magnoliaswitch.core.platform.InstanceList;
import org.magnoliaswitch.core.platform.ObjectStore;
import org.magnoliaswitch.core.process.ControlPlane;
import org.magnoliaswitch.core.process.GossipSettings;
import org.magnoliaswitch.core.process.InstanceIdentity;
import org.magnoliaswitch.core.process.Platform;
import org.magnoliaswitch.standins.StandinTable;

/**
 * Runs the control planes of many instances in one process, connected by sockets on the loopback
 * address.
 */
final class Fleet implements AutoCloseable {
  private static final int SEEDS = 5;
  private static final int DATA_CENTRES = 12;

  /** An object store in memory. */
  private static final class InMemoryObjectStore implements ObjectStore {
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();

    @Override
    public Optional<byte[]> get(String name) {
      return Optional.ofNullable(objects.get(name));
    }

    @Override
    public void put(String name, byte[] content) {
      objects.put(name, content);
    }
  }

  private final List<ControlPlane> instances = new ArrayList<>();
  private final Clocks clocks = Clocks.system();

  Fleet(int size) throws IOException {
    InstanceList emptyList = List::of;
    Platform platform =
        new Platform(new StandinTable(clocks), new InMemoryObjectStore(), emptyList);
    List<Integer> ports = freePorts(size);
    List<Address> seeds =
        ports.subList(0, Math.min(SEEDS, size)).stream()
            .map(port -> new Address("127.0.0.1", port))
            .toList();
    PeerSecret secret = new PeerSecret("experiment-secret".getBytes(StandardCharsets.US_ASCII));
    for (int i = 0; i < size; i++) {
      InstanceIdentity identity =
          new InstanceIdentity(
              "entry-" + i, "dc-" + i % DATA_CENTRES, "127.0.0.1", 1, 2, ports.get(i));
      instances.add(
          new ControlPlane(
              new ControlPlane.Setup(identity, seeds, GossipSettings.DEFAULT, secret),
              platform,
              clocks,
              new SplittableRandom(i)));
    }
    instances.forEach(ControlPlane::start);
  }

  List<ControlPlane> instances() {
    return instances;
  }

  long bytes() {
    return instances.stream().mapToLong(i -> i.traffic().bytes().get()).sum();
  }

  long messages() {
    return instances.stream().mapToLong(i -> i.traffic().messages().get()).sum();
  }

  /** Whether each instance knows at least 95 % of the instances. */
  boolean converged() {
    return instances.stream()
        .allMatch(i -> i.state().membership().size() >= 0.95 * instances.size());
  }

  /** Submits a change at one instance and returns the accepted version. */
  long submitChange(int instance, long baseVersion, Map<String, String> parts) throws IOException {
    ChangeReply reply =
        new ChangeService(instances.get(instance))
            .submit(
                new ChangeRequest(
                    baseVersion, "c" + baseVersion, "scale", "", new HashMap<>(parts)));
    if (reply.status() != ChangeReply.Status.ACCEPTED) {
      throw new IOException(reply.toString());
    }
    return reply.version();
  }

  @Override
  public void close() {
    instances.forEach(ControlPlane::close);
  }

  private static List<Integer> freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0);
      sockets.add(socket);
      ports.add(socket.getLocalPort());
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }
}
