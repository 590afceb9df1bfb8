package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.testing.Servers;
import org.magnoliaswitch.front.version.ServerEntry;
import org.magnoliaswitch.front.version.ServerList;
import org.testng.annotations.Test;

/** Which servers exist after reads that fail. */
public final class DiscoveryReconcilerTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private static ServerList list(long version, String... ids) {
    Map<String, ServerEntry> servers = new HashMap<>();
    for (String id : ids) {
      servers.put(id, Servers.entry(id, id.startsWith("draining")));
    }
    return new ServerList(version, servers);
  }

  private static Set<String> read(DiscoveryReconciler keeper, long now, ServerList list) {
    return keeper.read(list, now).servers().keySet();
  }

  /** While the store answers. */
  public static final class Ordinary {
    @Test
    public void aMissingEntryIsGoneAtOnce() {
      DiscoveryReconciler keeper = new DiscoveryReconciler();
      read(keeper, 0, list(1, "a", "b"));
      assertEquals(read(keeper, SECOND, list(2, "a")), Set.of("a"));
    }
  }

  /** Servers that start again under the id that they had. */
  public static final class Restarts {
    private static ServerList list(long version, ServerEntry entry) {
      return new ServerList(version, Map.of(entry.id(), entry));
    }

    /** The old process writes once more after the new one has registered. */
    @Test
    public void aLaterIncarnationIsNotReplacedByAnEarlierOne() {
      DiscoveryReconciler keeper = new DiscoveryReconciler();
      ServerEntry later = Servers.restarted(Servers.entry("a", false));
      keeper.read(list(1, later), 0);
      ServerList read = keeper.read(list(2, Servers.entry("a", true)), SECOND);
      assertEquals(read.servers().get("a"), later);
    }

    /**
     * The store was away while the server started again: what it lists is newer than what is kept.
     */
    @Test
    public void afterAnOutageTheNewIncarnationIsBelieved() {
      DiscoveryReconciler keeper = new DiscoveryReconciler();
      keeper.read(list(1, Servers.entry("a", false)), 0);
      keeper.failed();
      ServerEntry later = Servers.restarted(Servers.entry("a", false));
      assertEquals(keeper.read(list(9, later), 10 * SECOND).servers().get("a"), later);
    }
  }

  /** After the store was away. */
  public static final class AfterAnOutage {
    /**
     * The store was down, so the entries of living servers lapsed. Callers would get nothing but
     * refusals until the servers are listed again, although all of them serve.
     */
    @Test
    public void lapsedEntriesAreKeptUntilTheyHadTimeToComeBack() {
      DiscoveryReconciler keeper = new DiscoveryReconciler();
      read(keeper, 0, list(1, "a", "b"));
      keeper.failed();
      assertEquals(read(keeper, 10 * SECOND, list(9)), Set.of("a", "b"));
      assertEquals(read(keeper, 11 * SECOND, list(10, "a")), Set.of("a", "b"));
      assertEquals(read(keeper, 13 * SECOND, list(11, "a")), Set.of("a"));
    }

    /**
     * The store came back and nothing has changed there since, so its version stands still. The
     * list without the server that is gone must be newer than the one that kept it, or callers'
     * requests would go to that server until something else changes.
     */
    @Test
    public void theListWithoutKeptEntriesIsNewerThoughTheStoreIsQuiet() {
      DiscoveryReconciler keeper = new DiscoveryReconciler();
      read(keeper, 0, list(1, "a", "b"));
      keeper.failed();
      long kept = keeper.read(list(9, "a"), 10 * SECOND).version();
      long dropped = keeper.read(list(9, "a"), 13 * SECOND).version();
      assertTrue(dropped > kept, kept + " to " + dropped);
    }

    @Test
    public void aServerThatWasLeavingStaysGone() {
      DiscoveryReconciler keeper = new DiscoveryReconciler();
      read(keeper, 0, list(1, "a", "draining-b"));
      keeper.failed();
      assertEquals(read(keeper, 10 * SECOND, list(9)), Set.of("a"));
    }

    /**
     * All instances were cut off from the store while a server left without a word. Its entry is
     * missing at the first read and kept, since it might have lapsed only. Read again at the usual
     * time after the keeping has ended, it would get requests nearly a second longer than it may.
     */
    @Test
    public void aReadIsDueWhenTheKeepingEnds() {
      DiscoveryReconciler keeper = new DiscoveryReconciler();
      assertTrue(keeper.untilReleaseNanos(0).isEmpty());
      read(keeper, 0, list(1, "a", "b"));
      keeper.failed();
      read(keeper, 10 * SECOND, list(9, "a"));
      assertEquals(
          keeper.untilReleaseNanos(11 * SECOND).orElseThrow(),
          DiscoveryReconciler.COME_BACK_NANOS - SECOND);
      long end = 10 * SECOND + DiscoveryReconciler.COME_BACK_NANOS;
      assertEquals(keeper.untilReleaseNanos(end + 1).orElseThrow(), 0);
      assertEquals(read(keeper, end, list(9, "a")), Set.of("a"));
      assertTrue(keeper.untilReleaseNanos(end).isEmpty());
    }

    /** A peer that reads the store has told its list: this instance need not read as well. */
    @Test
    public void noReadIsDueOnceAPeerHasTold() {
      DiscoveryReconciler keeper = new DiscoveryReconciler();
      read(keeper, 0, list(1, "a", "b"));
      keeper.failed();
      read(keeper, 10 * SECOND, list(9, "a"));
      keeper.adopt(list(10, "a"), 11 * SECOND);
      assertTrue(keeper.untilReleaseNanos(11 * SECOND).isEmpty());
    }

    @Test
    public void aLongGapBetweenReadsCountsAsAnOutage() {
      DiscoveryReconciler keeper = new DiscoveryReconciler();
      read(keeper, 0, list(1, "a"));
      assertEquals(read(keeper, 60 * SECOND, list(9)), Set.of("a"));
    }
  }
}
