package org.magnoliaswitch.core.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.crash.RequestIdentity;
import org.magnoliaswitch.core.peer.Address;
import org.magnoliaswitch.core.peer.Claim;
import org.magnoliaswitch.core.peer.ClaimResult;
import org.magnoliaswitch.core.peer.LeavingNotice;
import org.magnoliaswitch.core.peer.PeerSecret;
import org.magnoliaswitch.core.process.ControlPlane;
import org.magnoliaswitch.core.process.GossipSettings;
import org.magnoliaswitch.core.process.InstanceIdentity;
import org.magnoliaswitch.core.process.Platform;
import org.magnoliaswitch.core.testing.Declarations;
import org.magnoliaswitch.core.testing.FakePlatform;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests how versions, departures and crashes propagate between instances connected by real sockets.
 */
public final class PropagationTest {
  private FakePlatform platform = new FakePlatform();
  private final List<ControlPlane> instances = new ArrayList<>();
  private final List<Address> seeds = new ArrayList<>();

  @BeforeMethod
  public void resetPlatform() {
    platform = new FakePlatform();
    seeds.clear();
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    instances.forEach(ControlPlane::close);
    instances.clear();
  }

  @Test
  public void anAcceptedVersionBecomesActiveOnAllInstances() throws Exception {
    start(4);
    assertEquals(change(0, "first", 8001).version(), 1);
    await(() -> instances.stream().allMatch(i -> version(i) == 1));
  }

  /**
   * The store fails right after it accepted a version, so that instances can get it only from
   * peers.
   */
  @Test
  public void aVersionPropagatesWithoutTheStore() throws Exception {
    start(4);
    change(0, "first", 8001);
    await(() -> instances.stream().allMatch(i -> version(i) == 1));
    change(1, "second", 8002);
    platform.setUnavailable(true);
    await(() -> instances.stream().allMatch(i -> version(i) == 2));
  }

  /**
   * An instance starts while the store is unavailable. It must adopt the newest version of its
   * peers and must not be ready before.
   */
  @Test
  public void aNewInstanceAdoptsTheNewestVersionOfItsPeers() throws Exception {
    start(3);
    change(0, "first", 8001);
    change(0, "second", 8002);
    await(() -> instances.stream().allMatch(i -> version(i) == 2));
    platform.setUnavailable(true);
    start(1);
    await(() -> instances.getLast().ready());
    assertEquals(version(instances.getLast()), 2);
  }

  @Test
  public void anInstanceWithNeitherStoreNorPeersIsNotReady() throws Exception {
    platform.setUnavailable(true);
    start(1);
    instances.getFirst().catchUp();
    assertFalse(instances.getFirst().ready());
  }

  @Test
  public void aDepartureSetByAnOperatorPropagatesWithoutTheStore() throws Exception {
    start(4);
    platform.setUnavailable(true);
    await(() -> instances.stream().allMatch(i -> i.state().membership().size() == 4));
    instances.getFirst().state().leaving().markLeaving("server-1", LeavingNotice.Source.OPERATOR);
    instances.getFirst().gossip().pushUpdate();
    await(() -> instances.stream().allMatch(i -> i.state().leaving().leaving("server-1")));
  }

  /**
   * Each of three instances sees one server crash while serving the same request; the third knew
   * that the request was suspect. Without the store, all four instances must learn that the request
   * is confirmed as the cause, and so must an instance that starts later.
   */
  @Test
  public void crashesOfServersPropagateToAllInstances() throws Exception {
    RequestIdentity request = new RequestIdentity(1, 2);
    start(4);
    platform.setUnavailable(true);
    await(() -> instances.stream().allMatch(i -> i.state().membership().size() == 4));
    for (int i = 0; i < 3; i++) {
      instances.get(i).state().crashes().recordCrash(List.of(request), "server-" + i, i == 2);
    }
    await(() -> instances.stream().allMatch(i -> confirmed(i, request)));
    start(1);
    await(() -> confirmed(instances.getLast(), request));
  }

  private static boolean confirmed(ControlPlane instance, RequestIdentity request) {
    return instance.state().crashes().table().confirmed(request);
  }

  /**
   * Guards against claims that are lost with the instance that made them for others: it ends, and
   * the platform is restored from a copy without them. Their holder must write them again.
   */
  @Test
  public void claimsMadeThroughAnEndedInstanceAreRepeatedByTheirHolder() throws Exception {
    start(3);
    await(() -> instances.stream().allMatch(i -> i.state().membership().size() == 3));
    Runnable restore = platform.copy();
    ControlPlane holder = instances.getFirst();
    String incarnation = holder.state().membership().self().incarnation();
    List<String> keys = IntStream.range(0, 30).mapToObj(i -> "booking/own-" + i).toList();
    for (String key : keys) {
      Claim claim = new Claim(key, incarnation, "f", 0, 3_600);
      assertEquals(
          holder.claims().claim(claim, 1, TimeUnit.MINUTES.toNanos(1)).status(),
          ClaimResult.Status.GRANTED);
    }
    assertTrue(holder.batcher().transactions() < keys.size(), "no claim was made by a peer");
    instances.get(1).close();
    instances.get(2).close();
    restore.run();
    await(
        () ->
            keys.stream()
                .allMatch(key -> holder.claims().holder(key).equals(Optional.of(incarnation))));
  }

  @Test
  public void aChangeBasedOnAnOldVersionIsRejected() throws Exception {
    start(1);
    change(0, "first", 8001);
    change(0, "second", 8002);
    ChangeReply reply = submit(instances.getFirst(), "late", 1, 8003);
    assertEquals(reply.status(), ChangeReply.Status.RACED);
    assertTrue(reply.messages().stream().anyMatch(line -> line.contains("server-8002")));
  }

  @Test
  public void aRepeatedChangeIsAcceptedOnlyOnce() throws Exception {
    start(1);
    change(0, "first", 8001);
    assertEquals(
        submit(instances.getFirst(), "first", 0, 8001).status(),
        ChangeReply.Status.ALREADY_ACCEPTED);
  }

  private void start(int count) throws IOException {
    for (int i = 0; i < count; i++) {
      int port = freePort();
      seeds.add(new Address("127.0.0.1", port));
      ControlPlane.Setup setup =
          new ControlPlane.Setup(
              new InstanceIdentity("entry-" + port, "dc-1", "127.0.0.1", 1, 2, port),
              List.copyOf(seeds),
              new GossipSettings(50, 4, 3, 200),
              new PeerSecret("0123456789abcdef".getBytes(StandardCharsets.US_ASCII)));
      ControlPlane instance =
          new ControlPlane(
              setup,
              new Platform(platform, platform, List::of),
              Clocks.system(),
              new SplittableRandom(port));
      instances.add(instance);
      instance.start();
    }
  }

  private ChangeReply change(int instance, String id, int port) {
    ControlPlane target = instances.get(instance);
    ChangeReply reply = submit(target, id, version(target), port);
    assertEquals(reply.status(), ChangeReply.Status.ACCEPTED, reply.toString());
    return reply;
  }

  private static ChangeReply submit(ControlPlane target, String id, long base, int port) {
    Map<String, String> parts = new TreeMap<>();
    Declarations.parts(Declarations.profile(), Declarations.service(port))
        .forEach((path, content) -> parts.put(path, new String(content, StandardCharsets.UTF_8)));
    return new ChangeService(target).submit(new ChangeRequest(base, id, "test", "", parts));
  }

  private static long version(ControlPlane instance) {
    return instance.state().version().get().version();
  }

  private static void await(BooleanSupplier condition) {
    while (!condition.getAsBoolean()) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }
}
