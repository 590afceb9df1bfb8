package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.magnoliaswitch.core.process.ConfigurationStore.Acceptance;
import org.magnoliaswitch.core.testing.Declarations;
import org.magnoliaswitch.core.testing.FakePlatform;
import org.magnoliaswitch.core.testing.FakePlatform.Fault;
import org.magnoliaswitch.core.version.Digest;
import org.magnoliaswitch.core.version.Manifest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the acceptance of versions by the platform's table. */
public final class ConfigurationStoreTest {
  private FakePlatform platform = new FakePlatform();
  private ConfigurationStore store = new ConfigurationStore(platform, platform);

  @BeforeMethod
  public void setUp() {
    platform = new FakePlatform();
    store = new ConfigurationStore(platform, platform);
  }

  @DataProvider
  public static Object[][] faults() {
    return new Object[][] {
      {Fault.NONE, "accepted"},
      {Fault.ANSWER_LOST, "accepted"},
      {Fault.DROPPED, "undecided"},
      {Fault.DELAYED, "undecided"},
    };
  }

  @Test(dataProvider = "faults")
  public void reportsTheResultOfEachFault(Fault fault, String expected) {
    platform.queueFaults(fault);
    assertEquals(name(accept(1, "change")), expected);
  }

  /**
   * The operator receives "undecided", the write is applied late, and the operator repeats the
   * command with the same change id. Without the change row the repetition would be rejected
   * because of the change itself.
   */
  @Test
  public void repeatingAChangeAppliedLateIsHarmless() {
    platform.queueFaults(Fault.DELAYED);
    accept(1, "change");
    platform.applyDelayedWrites();
    assertEquals(accept(1, "change"), new Acceptance.Accepted(head(1, "change"), true));
  }

  @Test
  public void aWriteAppliedLateCannotDisplaceAnotherChange() throws Exception {
    platform.queueFaults(Fault.DELAYED);
    accept(1, "slow");
    accept(1, "quick");
    platform.applyDelayedWrites();
    assertEquals(store.head(), head(1, "quick"));
  }

  @Test
  public void theSecondOfTwoConcurrentChangesIsRejected() {
    accept(1, "first");
    assertEquals(accept(1, "second"), new Acceptance.Raced(head(1, "first")));
  }

  /**
   * Operators submit concurrent changes and repeat undecided ones while transactions fail in every
   * way. A change that is reported as accepted has exactly one version, and no two changes share a
   * version.
   */
  @Test
  public void acceptsEachChangeOnceUnderRandomFaults() throws Exception {
    for (int seed = 0; seed < 300; seed++) {
      setUp();
      SplittableRandom random = new SplittableRandom(seed);
      Map<String, Long> acceptedVersions = new HashMap<>();
      for (int step = 0; step < 60; step++) {
        platform.queueRandomFault(random);
        String change = "c" + random.nextInt(12);
        long base = random.nextInt(3) == 0 ? random.nextInt(6) : store.head().version();
        if (accept(base + 1, change) instanceof Acceptance.Accepted accepted) {
          Long before = acceptedVersions.put(change, accepted.head().version());
          assertTrue(before == null || before == accepted.head().version(), "seed " + seed);
        }
        if (random.nextInt(4) == 0) {
          platform.applyDelayedWrites();
        }
      }
      assertEquals(
          acceptedVersions.values().stream().distinct().count(),
          acceptedVersions.size(),
          "seed " + seed);
    }
  }

  private Acceptance accept(long version, String change) {
    Manifest manifest = new Manifest(version, change, "a", "", new TreeMap<>());
    byte[] content = Declarations.json(manifest);
    return store.accept(manifest, Digest.of(content), Map.of(Digest.of(content), content));
  }

  private static ConfigurationStore.Head head(long version, String change) {
    return new ConfigurationStore.Head(
        version,
        Digest.of(Declarations.json(new Manifest(version, change, "a", "", new TreeMap<>()))));
  }

  private static String name(Acceptance acceptance) {
    return switch (acceptance) {
      case Acceptance.Accepted accepted -> "accepted";
      case Acceptance.Raced raced -> "raced";
      case Acceptance.Undecided undecided -> "undecided";
    };
  }
}
