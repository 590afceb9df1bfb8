package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertEquals;

import org.magnoliaswitch.front.load.InstanceIndex;
import org.magnoliaswitch.front.testing.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Shares that are worked out once for each number and place of instances. */
public final class ShareCacheTest {
  private InstanceCount instances;
  private ShareCache<String, Integer> shares;
  private int workedOut;

  @BeforeMethod
  public void start() {
    workedOut = 0;
    instances = new InstanceCount(2, new ManualClock().clocks());
    shares = new ShareCache<>(instances, key -> ++workedOut);
  }

  @Test
  public void aShareIsWorkedOutOnce() {
    shares.of("a");
    shares.of("a");
    assertEquals(workedOut, 1);
  }

  /** Guards against shares of few instances that are kept when others join. */
  @Test
  public void itIsWorkedOutAnewWhenInstancesJoinOrPlacesChange() {
    shares.of("a");
    instances.learnt(3);
    shares.of("a");
    instances.placed(new InstanceIndex(1, 3));
    shares.of("a");
    assertEquals(workedOut, 3);
  }
}
