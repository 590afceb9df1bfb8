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

/** What servers asked for, over the time in which discovery does not list them. */
public final class BackpressureMemoryTest {
  private static final ServerNotice LEAVING = new ServerNotice(true, OptionalDouble.empty(), 0);
  private static final ServerEntry ENTRY = Servers.entry("a", false);

  private BackpressureMemory memory;

  @BeforeMethod
  public void start() {
    memory = new BackpressureMemory();
  }

  private void keepLeaving(ServerEntry entry) {
    ServerState state = new ServerState(entry, 0);
    state.backpressure().recordAnswer(LEAVING, 0, 0);
    memory.keep(state);
  }

  @Test
  public void holdsForTheSameIncarnation() {
    keepLeaving(ENTRY);
    assertTrue(memory.of(ENTRY).leaving());
  }

  /** Guards against a limit or a pause that is forgotten when the list of servers is rebuilt. */
  @Test
  public void keepsLimitsAndPauses() {
    ServerState state = new ServerState(ENTRY, 0);
    state.backpressure().recordAnswer(new ServerNotice(false, OptionalDouble.of(4.6), 100), 0, 0);
    memory.keep(state);
    Backpressure kept = memory.of(ENTRY);
    assertTrue(kept.requestsPerSecond().isPresent());
    assertEquals(kept.remainingPauseNanos(40), 60);
  }

  /** Guards against a server that gets nothing because the process before it left. */
  @Test
  public void doesNotHoldForTheNextIncarnation() {
    keepLeaving(ENTRY);
    assertFalse(memory.of(Servers.restarted(ENTRY)).leaving());
  }

  /** Guards against a memory that grows with every server that ever was. */
  @Test
  public void theOldestAreForgotten() {
    keepLeaving(ENTRY);
    for (int i = 0; i < 1_000; i++) {
      keepLeaving(Servers.entry("s" + i, false));
    }
    assertFalse(memory.of(ENTRY).leaving());
    assertTrue(memory.of(Servers.entry("s999", false)).leaving());
  }
}
