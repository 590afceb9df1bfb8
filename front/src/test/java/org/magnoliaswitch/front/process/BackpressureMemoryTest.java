package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.OptionalDouble;
import org.magnoliaswitch.front.load.Backpressure;
import org.magnoliaswitch.front.load.ServerNotice;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.testing.Servers;
import org.magnoliaswitch.front.version.ServerEntry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the backpressure of servers that discovery temporarily does not list. */
public final class BackpressureMemoryTest {
  private static final ServerNotice LEAVING = new ServerNotice(true, OptionalDouble.empty(), 0);
  private static final ServerEntry ENTRY = Servers.entry("a", false);

  private BackpressureMemory memory;

  @BeforeMethod
  public void createMemory() {
    memory = new BackpressureMemory();
  }

  private void storeLeaving(ServerEntry entry) {
    ServerState state = new ServerState(entry, 0);
    state.backpressure().recordAnswer(LEAVING, 0, 0);
    memory.store(state);
  }

  @Test
  public void appliesToSameIncarnation() {
    storeLeaving(ENTRY);
    assertTrue(memory.take(ENTRY).leaving());
  }

  /** Guards against limits and pauses that are lost when a server is missing from one list. */
  @Test
  public void storesLimitsAndPauses() {
    ServerState state = new ServerState(ENTRY, 0);
    state.backpressure().recordAnswer(new ServerNotice(false, OptionalDouble.of(4.6), 100), 0, 0);
    memory.store(state);
    Backpressure kept = memory.take(ENTRY);
    assertTrue(kept.requestsPerSecond().isPresent());
    assertEquals(kept.remainingPauseNanos(40), 60);
  }

  /**
   * Guards against a restarted server that receives no requests because its earlier incarnation was
   * leaving.
   */
  @Test
  public void doesNotApplyToNextIncarnation() {
    storeLeaving(ENTRY);
    assertFalse(memory.take(Servers.restarted(ENTRY)).leaving());
  }

  /** Guards against unbounded growth with the number of servers ever listed. */
  @Test
  public void oldestEntriesAreRemoved() {
    storeLeaving(ENTRY);
    for (int i = 0; i < 1_000; i++) {
      storeLeaving(Servers.entry("s" + i, false));
    }
    assertFalse(memory.take(ENTRY).leaving());
    assertTrue(memory.take(Servers.entry("s999", false)).leaving());
  }
}
