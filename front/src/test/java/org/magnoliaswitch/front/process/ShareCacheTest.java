package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertEquals;

import org.magnoliaswitch.front.load.InstanceIndex;
import org.magnoliaswitch.front.testing.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that shares are computed once for each number and index of instances. */
public final class ShareCacheTest {
  private InstanceCount instances;
  private ShareCache<String, Integer> shares;
  private int computed;

  @BeforeMethod
  public void createCache() {
    computed = 0;
    instances = new InstanceCount(2, new ManualClock().clocks());
    shares = new ShareCache<>(instances, key -> ++computed);
  }

  @Test
  public void shareIsComputedOnce() {
    shares.get("a");
    shares.get("a");
    assertEquals(computed, 1);
  }

  /** Guards against shares for too few instances that stay cached when others join. */
  @Test
  public void shareIsComputedAgainAfterChangeOfInstances() {
    shares.get("a");
    instances.update(3);
    shares.get("a");
    instances.updateIndex(new InstanceIndex(1, 3));
    shares.get("a");
    assertEquals(computed, 3);
  }
}
