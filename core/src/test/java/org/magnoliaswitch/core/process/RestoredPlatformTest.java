package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.magnoliaswitch.core.clock.HybridClock;
import org.magnoliaswitch.core.peer.Claim;
import org.magnoliaswitch.core.peer.ClaimResult;
import org.magnoliaswitch.core.peer.PeerClient;
import org.magnoliaswitch.core.peer.PeerSecret;
import org.magnoliaswitch.core.peer.PeerTraffic;
import org.magnoliaswitch.core.platform.PlatformException;
import org.magnoliaswitch.core.process.ConfigurationStore.Acceptance;
import org.magnoliaswitch.core.testing.Declarations;
import org.magnoliaswitch.core.testing.FakePlatform;
import org.magnoliaswitch.core.testing.ManualClock;
import org.magnoliaswitch.core.version.Digest;
import org.magnoliaswitch.core.version.Manifest;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests configurations and claims when the platform is restored from a copy that lacks them. */
public final class RestoredPlatformTest {
  private FakePlatform platform = new FakePlatform();
  private ConfigurationStore store = new ConfigurationStore(platform, platform);
  private Instance instance = new Instance();

  /** The parts of an instance that follow the configuration. */
  private final class Instance {
    private final ContentCache cache = new ContentCache();
    private final PeerClient client =
        new PeerClient(new PeerSecret(new byte[32]), new PeerTraffic());
    private final CurrentVersion current =
        new CurrentVersion(cache, new Timeline("i", new HybridClock(new ManualClock()), 9));
    private final ConfigurationFollower follower =
        new ConfigurationFollower(current, cache, store, client);
  }

  @BeforeMethod
  public void setUp() {
    platform = new FakePlatform();
    store = new ConfigurationStore(platform, platform);
    instance = new Instance();
  }

  @AfterMethod
  public void tearDown() {
    instance.client.close();
  }

  private Acceptance accept(long version, String change) {
    Map<String, byte[]> contents = new HashMap<>();
    TreeMap<String, String> parts = new TreeMap<>();
    Declarations.parts(Declarations.profile(), Declarations.service(8000 + (int) version))
        .forEach(
            (path, content) -> {
              parts.put(path, Digest.of(content));
              contents.put(Digest.of(content), content);
            });
    Manifest manifest = new Manifest(version, change, "a", "", parts);
    byte[] encoded = Declarations.json(manifest);
    contents.put(Digest.of(encoded), encoded);
    return store.accept(manifest, Digest.of(encoded), contents);
  }

  private static void assertAccepted(Acceptance acceptance) {
    assertTrue(acceptance instanceof Acceptance.Accepted, acceptance.toString());
  }

  /** Guards against an accepted change that no instance adopts since its number is in force. */
  @Test
  public void lostHeadIsWrittenAgainByInstanceThatHoldsIt() throws PlatformException {
    assertAccepted(accept(1, "first"));
    Runnable restore = platform.copy();
    assertAccepted(accept(2, "second"));
    assertTrue(instance.follower.followStore());
    restore.run();
    assertFalse(instance.follower.followStore());
    assertEquals(store.head().version(), 2);
    assertAccepted(accept(3, "third"));
    assertTrue(instance.follower.followStore());
    assertEquals(instance.current.get().version(), 3);
  }

  /** Guards against a version that instances started later cannot load. */
  @Test
  public void contentsOfLostVersionAreWrittenAgain() throws PlatformException {
    Runnable restore = platform.copy();
    assertAccepted(accept(1, "first"));
    assertTrue(instance.follower.followStore());
    restore.run();
    assertFalse(instance.follower.followStore());
    Instance later = new Instance();
    assertTrue(later.follower.followStore());
    assertEquals(later.current.get().digest(), instance.current.get().digest());
    later.client.close();
  }

  /** Guards against a change that is applied twice because its first acceptance has been lost. */
  @Test
  public void repeatedChangeOfLostVersionIsRecognized() throws PlatformException {
    Runnable restore = platform.copy();
    assertAccepted(accept(1, "first"));
    assertTrue(instance.follower.followStore());
    restore.run();
    assertFalse(instance.follower.followStore());
    Acceptance repeated = accept(1, "first");
    assertTrue(((Acceptance.Accepted) repeated).repeated());
  }

  /** Guards against an instance that overwrites versions accepted after the restore. */
  @Test
  public void newerHeadIsKept() throws PlatformException, IOException {
    assertAccepted(accept(1, "first"));
    assertTrue(instance.follower.followStore());
    assertAccepted(accept(2, "second"));
    Manifest manifest = instance.current.manifest(instance.current.get().digest());
    ConfigurationStore.Head outdated =
        new ConfigurationStore.Head(1, instance.current.get().digest());
    assertFalse(store.reinstate(outdated, manifest, Map.of()));
    assertEquals(store.head().version(), 2);
  }

  /** Guards against a second execution of a request whose claim the platform has lost. */
  @Test
  public void keyClaimedBeforeRestoreIsNotGrantedToAnother() {
    Runnable restore = platform.copy();
    assertEquals(claim("k", "a"), ClaimResult.Status.GRANTED);
    restore.run();
    assertNotEquals(claim("k", "b"), ClaimResult.Status.GRANTED);
  }

  private ClaimResult.Status claim(String key, String incarnation) {
    ClaimBatcher batcher = new ClaimBatcher(platform);
    CompletableFuture<ClaimResult> result = batcher.add(new Claim(key, incarnation, "f", 0, 60));
    batcher.flush();
    return result.join().status();
  }
}
