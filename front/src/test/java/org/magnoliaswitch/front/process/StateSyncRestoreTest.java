package org.magnoliaswitch.front.process;

import static org.magnoliaswitch.front.process.StateSyncTest.at;
import static org.magnoliaswitch.front.process.StateSyncTest.freePort;
import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import org.magnoliaswitch.front.process.StateSyncTest.Platform;
import org.magnoliaswitch.front.process.StateSyncTest.TestInstance;
import org.magnoliaswitch.front.version.Revision;
import org.testng.annotations.Test;

/** Tests how instances keep each other up to date when the platform is restored from a copy. */
public final class StateSyncRestoreTest {
  private static void await(TestInstance instance, Revision revision) {
    while (!instance.knownState.servers().revision().equals(revision)) {
      Thread.onSpinWait();
    }
  }

  /** Guards against instances that keep the state of before the restore. */
  @Test(timeOut = 30_000)
  public void restoredStateReachesInstanceRejectedByPlatform() throws IOException {
    int port = freePort();
    Platform platform = new Platform();
    platform.answer(Revision.of(1, 90), 7, "a", "b");
    TestInstance seed = new TestInstance(port, List.of(at(port)), platform);
    TestInstance rejected = new TestInstance(freePort(), List.of(at(port)), new Platform());
    await(rejected, Revision.of(1, 90));
    platform.answer(Revision.of(2, 12), 6, "a");
    await(rejected, Revision.of(2, 12));
    assertEquals(rejected.knownState.servers().servers().keySet(), Set.of("a"));
    assertEquals(seed.knownState.servers().revision(), Revision.of(2, 12));
    assertEquals(rejected.knownState.routesVersion(), 7);
  }

  /**
   * Guards against an instance that takes its state for current because a peer, which cannot read
   * the restored platform, vouches for an earlier one.
   */
  @Test(timeOut = 30_000)
  public void peerWithStateOfEarlierEpochConfirmsNothing() throws IOException {
    List<InetSocketAddress> seeds = List.of(at(freePort()), at(freePort()));
    Platform beforeRestore = new Platform();
    beforeRestore.answer(Revision.of(1, 90), 7, "a");
    TestInstance first = new TestInstance(seeds.getFirst().getPort(), seeds, beforeRestore);
    Platform platform = new Platform();
    platform.answer(Revision.of(2, 12), 7, "a");
    TestInstance second = new TestInstance(seeds.getLast().getPort(), List.of(), platform);
    await(first, Revision.of(2, 12));
    int before = platform.reads.get();
    while (platform.reads.get() < before + 3) {
      Thread.onSpinWait();
    }
    assertEquals(second.knownState.servers().revision(), Revision.of(2, 12));
  }

  /** Guards against reads in quick succession while the platform returns an earlier state. */
  @Test(timeOut = 30_000)
  public void outdatedReadsAreRepeatedAtIntervals() throws Exception {
    Platform platform = new Platform();
    platform.answer(Revision.of(2, 12), 7, "a");
    TestInstance instance = new TestInstance(freePort(), List.of(), platform);
    await(instance, Revision.of(2, 12));
    platform.answer(Revision.of(1, 90), 7, "a");
    int before = platform.reads.get();
    while (platform.reads.get() < before + 3) {
      Thread.onSpinWait();
    }
    assertEquals(instance.knownState.servers().revision(), Revision.of(2, 12));
    platform.answer(Revision.of(2, 13), 7, "b");
    await(instance, Revision.of(2, 13));
  }
}
