package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.Test;

/** Which instances send to a server that few may send to. */
public final class SenderSelectionTest {
  private static final int INSTANCES = 100;
  private static final int SERVERS = 500;

  private static SenderSelection indexed(int index, String server) {
    Optional<InstanceIndex> instanceIndex = Optional.of(new InstanceIndex(index, INSTANCES));
    return new SenderSelection("front", server, INSTANCES, instanceIndex);
  }

  private static SenderSelection byName(int index, String server) {
    return new SenderSelection("front-" + index, server, INSTANCES, Optional.empty());
  }

  @Test
  public void placesDrawThreeQuartersOfTheSendersExactly() {
    for (int server = 0; server < SERVERS; server++) {
      int drawn = 0;
      for (int i = 0; i < INSTANCES; i++) {
        drawn += indexed(i, "i-" + server).selected(8) ? 1 : 0;
      }
      assertEquals(drawn, 6);
    }
  }

  /** Guards against draws by name that let more send than may, but for one in a hundred. */
  @Test
  public void namesSeldomDrawMoreThanMay() {
    int beyond = 0;
    for (int server = 0; server < SERVERS; server++) {
      int drawn = 0;
      for (int i = 0; i < INSTANCES; i++) {
        drawn += byName(i, "i-" + server).selected(8) ? 1 : 0;
      }
      beyond += drawn > 8 ? 1 : 0;
    }
    assertTrue(beyond <= SERVERS / 100, beyond + " servers");
  }

  @Test
  public void whereNoneMaySendNoneIsDrawn() {
    for (int i = 0; i < INSTANCES; i++) {
      assertTrue(!indexed(i, "i-1").selected(0) && !byName(i, "i-1").selected(0));
    }
  }
}
