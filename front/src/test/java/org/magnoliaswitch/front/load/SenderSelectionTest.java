package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.Test;

/** Tests which instances are selected as senders to a server with few allowed senders. */
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
  public void indexesSelectExactlyThreeQuartersOfTheSenders() {
    for (int server = 0; server < SERVERS; server++) {
      int selected = 0;
      for (int i = 0; i < INSTANCES; i++) {
        selected += indexed(i, "i-" + server).selected(8) ? 1 : 0;
      }
      assertEquals(selected, 6);
    }
  }

  /**
   * Selection by name may exceed the allowed number of senders for at most one server in a hundred.
   */
  @Test
  public void namesRarelySelectTooManySenders() {
    int exceeded = 0;
    for (int server = 0; server < SERVERS; server++) {
      int selected = 0;
      for (int i = 0; i < INSTANCES; i++) {
        selected += byName(i, "i-" + server).selected(8) ? 1 : 0;
      }
      exceeded += selected > 8 ? 1 : 0;
    }
    assertTrue(exceeded <= SERVERS / 100, exceeded + " servers have too many senders");
  }

  @Test
  public void aLimitOfZeroSelectsNoSender() {
    for (int i = 0; i < INSTANCES; i++) {
      assertTrue(!indexed(i, "i-1").selected(0) && !byName(i, "i-1").selected(0));
    }
  }
}
