package org.magnoliaswitch.front.process;

import static org.magnoliaswitch.front.process.ServerDirectoryTest.apply;
import static org.magnoliaswitch.front.process.ServerDirectoryTest.directory;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.magnoliaswitch.front.connection.ServerPool;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.testing.ManualClock;
import org.magnoliaswitch.front.testing.Servers;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.Revision;
import org.magnoliaswitch.front.version.ServerEntry;
import org.magnoliaswitch.front.version.Warmup;
import org.testng.annotations.Test;

/**
 * Tests which servers receive requests after the source of the lists has been restored from a copy,
 * which knows less than was read before.
 */
public final class ServerDirectoryRestoreTest {
  private static ServerState server(ServerDirectory directory, String id) {
    return directory.all().stream()
        .map(ServerPool::state)
        .filter(state -> state.entry().id().equals(id))
        .findFirst()
        .orElseThrow();
  }

  /** Servers that had left. */
  public static final class Departed {
    /** Guards against requests to a leaving server that the copy still lists as ready. */
    @Test
    public void drainingServerStaysDraining() {
      ServerDirectory directory = directory();
      apply(directory, Revision.of(1, 9), Servers.entry("a", true), Servers.entry("b", false));
      apply(directory, Revision.of(2, 4), Servers.entry("a", false), Servers.entry("b", false));
      apply(directory, Revision.of(2, 5), Servers.entry("a", false), Servers.entry("b", false));
      assertFalse(server(directory, "a").acceptsWork());
      assertTrue(server(directory, "b").acceptsWork());
    }

    /** Guards against a server that is never used again although it has withdrawn its departure. */
    @Test
    public void drainingServerThatStaysReadyIsUsedAgain() {
      ManualClock time = new ManualClock();
      ServerDirectory directory = directory(time.clocks(), Warmup.UNLIMITED);
      apply(directory, Revision.of(1, 9), Servers.entry("a", true));
      apply(directory, Revision.of(2, 4), Servers.entry("a", false));
      time.advance(DepartedServers.HOLD_NANOS);
      directory.sweep();
      assertTrue(server(directory, "a").acceptsWork());
    }

    @Test
    public void restartedServerReceivesRequests() {
      ServerDirectory directory = directory();
      ServerEntry draining = Servers.entry("a", true);
      apply(directory, Revision.of(1, 9), draining);
      apply(directory, Revision.of(2, 4), Servers.restarted(draining));
      assertTrue(server(directory, "a").acceptsWork());
    }

    /** Guards against requests to a server that has left and is listed again by the copy. */
    @Test
    public void departedServerIsHeldBackUntilItsEntryWouldHaveExpired() {
      ManualClock time = new ManualClock();
      ServerDirectory directory = directory(time.clocks(), Warmup.UNLIMITED);
      ServerEntry gone = Servers.entry("a", false);
      apply(directory, Revision.of(1, 8), gone, Servers.entry("b", false));
      apply(directory, Revision.of(1, 9), Servers.entry("b", false));
      apply(directory, Revision.of(2, 4), gone, Servers.entry("b", false));
      apply(directory, Revision.of(2, 5), gone, Servers.entry("b", false));
      directory.sweep();
      assertFalse(server(directory, "a").acceptsWork());
      time.advance(DepartedServers.HOLD_NANOS);
      directory.sweep();
      assertTrue(server(directory, "a").acceptsWork());
    }

    /** Guards against a held-back server that is gone for good when its time has passed. */
    @Test
    public void heldBackServerMayLeaveAgain() {
      ManualClock time = new ManualClock();
      ServerDirectory directory = directory(time.clocks(), Warmup.UNLIMITED);
      apply(directory, Revision.of(1, 8), Servers.entry("a", false));
      apply(directory, Revision.of(1, 9));
      apply(directory, Revision.of(2, 4), Servers.entry("a", false));
      apply(directory, Revision.of(2, 5));
      time.advance(DepartedServers.HOLD_NANOS);
      directory.sweep();
      assertTrue(directory.all().isEmpty());
    }

    /** Guards against holding back a live server whose entry the copy did not have either. */
    @Test
    public void serverThatRegistersAfterRestoreIsUsedAtOnce() {
      ServerDirectory directory = directory();
      apply(directory, Revision.of(1, 8), Servers.entry("a", false));
      apply(directory, Revision.of(1, 9));
      apply(directory, Revision.of(2, 4));
      apply(directory, Revision.of(2, 5), Servers.entry("a", false));
      assertTrue(server(directory, "a").acceptsWork());
    }

    /** A server whose entry has expired registers again within the same epoch. */
    @Test
    public void entryThatReturnsWithinAnEpochIsUsed() {
      ServerDirectory directory = directory();
      apply(directory, Revision.of(2, 3), Servers.entry("a", false));
      apply(directory, Revision.of(2, 4));
      apply(directory, Revision.of(2, 5), Servers.entry("a", false));
      assertTrue(server(directory, "a").acceptsWork());
    }
  }

  /** Data centres that were evacuated. */
  public static final class Evacuated {
    private static Evacuations evacuations(long epoch, long version, String... dataCentres) {
      return new Evacuations(Revision.of(epoch, version), Set.of(dataCentres));
    }

    /** Guards against an evacuation that ends because the copy is older. */
    @Test
    public void lostEvacuationStaysInForceUntilItIsDeclaredAgain() {
      ServerDirectory directory = directory();
      apply(directory, Revision.of(1, 8), Servers.entry("a", false));
      directory.evacuate(evacuations(1, 9, "here"));
      directory.evacuate(evacuations(2, 4));
      assertFalse(server(directory, "a").acceptsWork());
      directory.evacuate(evacuations(2, 5, "here"));
      assertFalse(server(directory, "a").acceptsWork());
      directory.evacuate(evacuations(2, 6));
      assertTrue(server(directory, "a").acceptsWork());
    }

    /** Guards against a data centre that is never used again. */
    @Test
    public void lostEvacuationThatIsNotDeclaredAgainEnds() {
      ManualClock time = new ManualClock();
      ServerDirectory directory = directory(time.clocks(), Warmup.UNLIMITED);
      apply(directory, Revision.of(1, 8), Servers.entry("a", false));
      directory.evacuate(evacuations(1, 9, "here"));
      directory.evacuate(evacuations(2, 4));
      time.advance(EvacuationState.HOLD_NANOS);
      directory.sweep();
      assertTrue(server(directory, "a").acceptsWork());
    }

    /** Guards against requests to an evacuated data centre when two restores follow each other. */
    @Test
    public void evacuationThatTwoCopiesLackIsKeptFromTheSecondOneOn() {
      ManualClock time = new ManualClock();
      ServerDirectory directory = directory(time.clocks(), Warmup.UNLIMITED);
      apply(directory, Revision.of(1, 8), Servers.entry("a", false));
      directory.evacuate(evacuations(1, 9, "here"));
      directory.evacuate(evacuations(2, 4));
      time.advance(EvacuationState.HOLD_NANOS - 1);
      directory.evacuate(evacuations(3, 2));
      time.advance(EvacuationState.HOLD_NANOS - 1);
      directory.sweep();
      assertFalse(server(directory, "a").acceptsWork());
      time.advance(1);
      directory.sweep();
      assertTrue(server(directory, "a").acceptsWork());
    }
  }
}
