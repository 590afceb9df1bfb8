package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicReference;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.testing.Servers;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.Revision;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServerEntry;
import org.magnoliaswitch.front.version.ServerList;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which states reach the servers of an instance. */
public final class KnownStateTest {
  /** Evacuations read before and after the source was restored from a copy. */
  public static final class RestoredSource {
    private static final ServerEntry SERVER = Servers.entry("a", false);

    private Loop loop = Loop.start();
    private ServerDirectory directory = ServerDirectoryTest.directory();
    private KnownState state = state();

    private KnownState state() {
      return new KnownState(
          new AtomicReference<>(RouteTable.EMPTY), directory, loop, new EventLog(Clocks.system()));
    }

    @BeforeMethod
    public void start() {
      loop.stop();
      loop = Loop.start();
      directory = ServerDirectoryTest.directory();
      state = state();
      state.offer(new ServerList(Revision.of(1, 1), Map.of(SERVER.id(), SERVER)));
    }

    @AfterMethod
    public void stop() {
      loop.stop();
    }

    private void read(long epoch, long version, String... dataCentres) {
      state.offer(new Evacuations(Revision.of(epoch, version), Set.of(dataCentres)), "test");
    }

    private boolean serverAcceptsWork() throws ExecutionException, InterruptedException {
      return loop.events()
          .submit(() -> List.copyOf(directory.all()).getFirst().state().acceptsWork())
          .get();
    }

    /**
     * Guards against refused requests when an operator takes back an evacuation that the restored
     * source still had: it was kept as if the copy lacked it.
     */
    @Test
    public void evacuationThatTheCopyHasEndsWhenItIsTakenBack() throws Exception {
      read(1, 9, "here");
      read(2, 4, "here");
      assertFalse(serverAcceptsWork());
      read(2, 5);
      assertTrue(serverAcceptsWork());
    }

    /** Guards against requests to an evacuated data centre when only the second copy lacks it. */
    @Test
    public void evacuationThatALaterCopyLacksStaysInForce() throws Exception {
      read(1, 9, "here");
      read(2, 4, "here");
      read(3, 2);
      assertFalse(serverAcceptsWork());
    }

    /**
     * Guards against requests to an evacuated data centre whose end is not certain: the copy lacks
     * the evacuation, and the source changes for another reason.
     */
    @Test
    public void evacuationThatTheCopyLacksStaysInForceWhenOtherChangesFollow() throws Exception {
      read(1, 9, "here");
      read(2, 4);
      read(2, 5, "there");
      read(2, 6);
      assertFalse(serverAcceptsWork());
    }
  }
}
