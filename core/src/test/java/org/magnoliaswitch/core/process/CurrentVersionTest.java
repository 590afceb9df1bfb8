package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.magnoliaswitch.core.clock.HybridClock;
import org.magnoliaswitch.core.testing.Declarations;
import org.magnoliaswitch.core.testing.ManualClock;
import org.magnoliaswitch.core.version.Digest;
import org.magnoliaswitch.core.version.Manifest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that the version in force only increases. */
public final class CurrentVersionTest {
  private ContentCache cache = new ContentCache();
  private CurrentVersion current = version(cache);

  @BeforeMethod
  public void setUp() {
    cache = new ContentCache();
    current = version(cache);
  }

  /**
   * Versions reach an instance in any order, from lagging peers and from the store. An older
   * version that arrives after a newer one must have no effect, or an accepted change would be
   * undone here.
   */
  @Test
  public void neverRevertsWhateverTheOrderOfArrival() throws IOException {
    for (int seed = 0; seed < 200; seed++) {
      setUp();
      List<Long> order = new ArrayList<>(List.of(1L, 2L, 3L, 4L, 5L, 6L));
      Collections.shuffle(order, new Random(seed));
      List<Long> versions = new ArrayList<>();
      current.addListener(snapshot -> versions.add(snapshot.version()));
      for (long version : order) {
        current.adopt(publish(version, Declarations.service(8001)));
      }
      List<Long> sorted = new ArrayList<>(versions);
      Collections.sort(sorted);
      assertEquals(versions, sorted, "seed " + seed);
      assertEquals(current.get().version(), 6L);
    }
  }

  @Test
  public void keepsTheOldVersionIfTheNewOneIsInvalid() throws IOException {
    current.adopt(publish(1, Declarations.service(8001)));
    assertFalse(current.adopt(publish(2, Declarations.service())));
    assertEquals(current.get().version(), 1);
  }

  @Test
  public void doesNotFetchARejectedVersionAgain() throws IOException {
    String digest = publish(2, Declarations.service());
    current.adopt(digest);
    assertFalse(current.shouldFetch(2, digest));
    assertTrue(current.shouldFetch(3, "other"));
  }

  @Test
  public void keepsOnlyTheContentsOfTheVersionInForce() throws IOException {
    current.adopt(publish(1, Declarations.service(8001)));
    current.adopt(publish(2, Declarations.service(8002)));
    assertEquals(
        cache.select(List.of(Digest.of(Declarations.json(Declarations.service(8001))))).size(), 0);
  }

  private String publish(long version, org.magnoliaswitch.core.version.Service service) {
    Map<String, String> digests = new TreeMap<>();
    new HashMap<>(Declarations.parts(Declarations.profile(), service))
        .forEach((path, content) -> digests.put(path, cache.put(content)));
    return cache.put(Declarations.json(new Manifest(version, "c" + version, "a", "", digests)));
  }

  private static CurrentVersion version(ContentCache cache) {
    ManualClock time = new ManualClock();
    return new CurrentVersion(cache, new Timeline("i", new HybridClock(time), 100));
  }
}
