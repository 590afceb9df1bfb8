package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.testing.Servers;
import org.magnoliaswitch.front.version.Revision;
import org.magnoliaswitch.front.version.ServerEntry;
import org.magnoliaswitch.front.version.ServerList;
import org.testng.annotations.Test;

/** Tests which servers exist after failed reads. */
public final class DiscoveryReconcilerTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private static ServerList list(long version, String... ids) {
    Map<String, ServerEntry> servers = new HashMap<>();
    for (String id : ids) {
      servers.put(id, Servers.entry(id, id.startsWith("draining")));
    }
    return new ServerList(Revision.of(0, version), servers);
  }

  /** A peer that can read the store confirms a list as of a time. */
  private static void confirm(DiscoveryReconciler reconciler, ServerList list, long asOf) {
    assertTrue(reconciler.accepts(list, asOf, asOf));
  }

  private static Set<String> read(DiscoveryReconciler reconciler, long now, ServerList list) {
    return reconciler.reconcile(list, now).servers().keySet();
  }

  /** The store is available. */
  public static final class Ordinary {
    @Test
    public void missingEntryIsDroppedAtOnce() {
      DiscoveryReconciler reconciler = new DiscoveryReconciler();
      read(reconciler, 0, list(1, "a", "b"));
      assertEquals(read(reconciler, SECOND, list(2, "a")), Set.of("a"));
    }
  }

  /** Servers that restart under the same id. */
  public static final class Restarts {
    private static ServerList list(long version, ServerEntry entry) {
      return new ServerList(Revision.of(0, version), Map.of(entry.id(), entry));
    }

    /** Guards against an entry that the old process writes after the new one has registered. */
    @Test
    public void laterIncarnationIsNotReplacedByEarlierOne() {
      DiscoveryReconciler reconciler = new DiscoveryReconciler();
      ServerEntry later = Servers.restarted(Servers.entry("a", false));
      reconciler.reconcile(list(1, later), 0);
      ServerList read = reconciler.reconcile(list(2, Servers.entry("a", true)), SECOND);
      assertEquals(read.servers().get("a"), later);
    }

    /**
     * Guards against a retained entry that replaces a newer one: the server has restarted during
     * the outage.
     */
    @Test
    public void newIncarnationIsUsedAfterOutage() {
      DiscoveryReconciler reconciler = new DiscoveryReconciler();
      reconciler.reconcile(list(1, Servers.entry("a", false)), 0);
      reconciler.readFailed(0);
      ServerEntry later = Servers.restarted(Servers.entry("a", false));
      assertEquals(reconciler.reconcile(list(9, later), 10 * SECOND).servers().get("a"), later);
    }
  }

  /** After an outage of the store. */
  public static final class AfterOutage {
    /**
     * Guards against rejecting all requests after an outage of the store, in which the entries of
     * live servers have expired.
     */
    @Test
    public void expiredEntriesAreRetainedUntilServersCouldRegister() {
      DiscoveryReconciler reconciler = new DiscoveryReconciler();
      read(reconciler, 0, list(1, "a", "b"));
      reconciler.readFailed(0);
      assertEquals(read(reconciler, 10 * SECOND, list(9)), Set.of("a", "b"));
      assertEquals(read(reconciler, 11 * SECOND, list(10, "a")), Set.of("a", "b"));
      assertEquals(read(reconciler, 13 * SECOND, list(11, "a")), Set.of("a"));
    }

    /**
     * Guards against requests to a departed server after an outage. The version of the store does
     * not change while its entries stay the same, so the list without the server must count as
     * newer than the one that retained it.
     */
    @Test
    public void listWithoutRetainedEntriesIsNewerWithoutChangesInStore() {
      DiscoveryReconciler reconciler = new DiscoveryReconciler();
      read(reconciler, 0, list(1, "a", "b"));
      reconciler.readFailed(0);
      Revision retained = reconciler.reconcile(list(9, "a"), 10 * SECOND).revision();
      Revision dropped = reconciler.reconcile(list(9, "a"), 13 * SECOND).revision();
      assertTrue(dropped.newerThan(retained), retained + " to " + dropped);
    }

    /**
     * Guards against a departure that is ignored because the list that retains other entries has
     * the version of the list before the departure.
     */
    @Test
    public void listWithRetainedEntriesIsNewerThanEarlierVersion() {
      DiscoveryReconciler reconciler = new DiscoveryReconciler();
      Revision before = reconciler.reconcile(list(9, "a", "b"), 0).revision();
      reconciler.readFailed(SECOND);
      Revision after = reconciler.reconcile(list(10, "draining-a"), 2 * SECOND).revision();
      assertTrue(after.newerThan(before), before + " to " + after);
    }

    /** Guards against live servers that are dropped by another reader within the retention time. */
    @Test
    public void entriesRetainedByPeerAreRetainedByOwnRead() {
      DiscoveryReconciler reconciler = new DiscoveryReconciler();
      read(reconciler, 0, list(1, "a", "b"));
      ServerList retained = list(9, "a", "b");
      ServerList inexact = new ServerList(retained.revision().inexact(), retained.servers());
      assertTrue(reconciler.accepts(inexact, SECOND, SECOND));
      reconciler.adopt(inexact, SECOND);
      assertEquals(read(reconciler, 2 * SECOND, list(9, "a")), Set.of("a", "b"));
      assertEquals(read(reconciler, 4 * SECOND, list(9, "a")), Set.of("a"));
    }

    /** Guards against dropping live servers that the copy from which a store is restored lacks. */
    @Test
    public void entriesThatRestoredStoreLacksAreRetained() {
      DiscoveryReconciler reconciler = new DiscoveryReconciler();
      read(reconciler, 0, list(9, "a", "b"));
      ServerList copy = new ServerList(Revision.of(1, 4), list(4, "a").servers());
      assertEquals(read(reconciler, SECOND, copy), Set.of("a", "b"));
      assertEquals(read(reconciler, 4 * SECOND, copy), Set.of("a"));
    }

    @Test
    public void leavingServerIsNotRetained() {
      DiscoveryReconciler reconciler = new DiscoveryReconciler();
      read(reconciler, 0, list(1, "a", "draining-b"));
      reconciler.readFailed(0);
      assertEquals(read(reconciler, 10 * SECOND, list(9)), Set.of("a"));
    }

    /**
     * Guards against requests to a server that left during an outage without announcing it. Its
     * missing entry is retained, since it may just have expired; if the next read were only due at
     * the regular time, the server would receive requests for nearly a second too long.
     */
    @Test
    public void readIsDueWhenRetentionEnds() {
      DiscoveryReconciler reconciler = new DiscoveryReconciler();
      assertTrue(reconciler.untilRetentionEndsNanos(0).isEmpty());
      read(reconciler, 0, list(1, "a", "b"));
      reconciler.readFailed(0);
      read(reconciler, 10 * SECOND, list(9, "a"));
      assertEquals(
          reconciler.untilRetentionEndsNanos(11 * SECOND).orElseThrow(),
          DiscoveryReconciler.RETENTION_NANOS - SECOND);
      long end = 10 * SECOND + DiscoveryReconciler.RETENTION_NANOS;
      assertEquals(reconciler.untilRetentionEndsNanos(end + 1).orElseThrow(), 0);
      assertEquals(read(reconciler, end, list(9, "a")), Set.of("a"));
      assertTrue(reconciler.untilRetentionEndsNanos(end).isEmpty());
    }

    /** Guards against a superfluous read after a peer has sent the list that it read. */
    @Test
    public void noReadIsDueAfterPeerListWasAdopted() {
      DiscoveryReconciler reconciler = new DiscoveryReconciler();
      read(reconciler, 0, list(1, "a", "b"));
      reconciler.readFailed(0);
      read(reconciler, 10 * SECOND, list(9, "a"));
      confirm(reconciler, list(10, "a"), 11 * SECOND);
      reconciler.adopt(list(10, "a"), 11 * SECOND);
      assertTrue(reconciler.untilRetentionEndsNanos(11 * SECOND).isEmpty());
    }

    /** Guards against a next reader that takes the time since its own last read for an outage. */
    @Test
    public void confirmationByPeerIsNoGap() {
      DiscoveryReconciler reconciler = new DiscoveryReconciler();
      read(reconciler, 0, list(1, "a", "b"));
      confirm(reconciler, list(1, "a", "b"), 59 * SECOND);
      assertEquals(read(reconciler, 60 * SECOND, list(2, "a")), Set.of("a"));
    }

    /** Guards against an outage that only this instance has seen and that ended long ago. */
    @Test
    public void failureBeforeConfirmationIsNoOutage() {
      DiscoveryReconciler reconciler = new DiscoveryReconciler();
      read(reconciler, 0, list(1, "a", "b"));
      reconciler.readFailed(SECOND);
      confirm(reconciler, list(1, "a", "b"), 2 * SECOND);
      assertEquals(read(reconciler, 3 * SECOND, list(2, "a")), Set.of("a"));
    }

    @Test
    public void failureAfterConfirmationIsOutage() {
      DiscoveryReconciler reconciler = new DiscoveryReconciler();
      read(reconciler, 0, list(1, "a", "b"));
      confirm(reconciler, list(1, "a", "b"), SECOND);
      reconciler.readFailed(2 * SECOND);
      assertEquals(read(reconciler, 3 * SECOND, list(2, "a")), Set.of("a", "b"));
    }

    @Test
    public void longGapBetweenReadsCountsAsOutage() {
      DiscoveryReconciler reconciler = new DiscoveryReconciler();
      read(reconciler, 0, list(1, "a"));
      assertEquals(read(reconciler, 60 * SECOND, list(9)), Set.of("a"));
    }
  }

  /** Peers that could or could not read the store meanwhile. */
  public static final class Peers {
    private static ServerList inexact(ServerList list) {
      return new ServerList(list.revision().inexact(), list.servers());
    }

    /** An instance whose list a peer with an exact list has confirmed. */
    private static DiscoveryReconciler certain(ServerList list) {
      DiscoveryReconciler reconciler = new DiscoveryReconciler();
      reconciler.reconcile(list, 0);
      confirm(reconciler, list, 1);
      assertFalse(reconciler.uncertain());
      return reconciler;
    }

    /** Guards against servers that an instance returning from a cut makes all others use again. */
    @Test
    public void certainInstanceRefusesListOfUncertainPeer() {
      DiscoveryReconciler reconciler = certain(list(2, "a"));
      assertFalse(reconciler.accepts(inexact(list(9, "a", "left")), SECOND, SECOND));
      assertEquals(read(reconciler, 2 * SECOND, list(9, "a")), Set.of("a"));
    }

    /** Guards against an instance that refuses all lists when it has missed the outage itself. */
    @Test
    public void instanceWithoutContactAcceptsListOfUncertainPeer() {
      DiscoveryReconciler reconciler = certain(list(2, "a", "b"));
      ServerList afterOutage = inexact(list(9, "a"));
      assertTrue(reconciler.accepts(afterOutage, 6 * SECOND, 6 * SECOND));
      ServerList used = reconciler.adopt(afterOutage, 6 * SECOND);
      assertEquals(used.servers().keySet(), Set.of("a", "b"));
      assertFalse(used.revision().exact());
    }

    /**
     * Guards against requests to departed servers once a peer has shown that there was no outage.
     */
    @Test
    public void exactListOfPeerEndsRetention() {
      DiscoveryReconciler reconciler = certain(list(2, "a", "left"));
      reconciler.readFailed(SECOND);
      assertEquals(read(reconciler, 5 * SECOND, list(9, "a")), Set.of("a", "left"));
      confirm(reconciler, list(10, "a"), 6 * SECOND);
      ServerList used = reconciler.adopt(list(10, "a"), 6 * SECOND);
      assertEquals(used.servers().keySet(), Set.of("a"));
      assertTrue(used.revision().exact());
    }

    /**
     * Guards against a live server that is dropped since a peer, which has not noticed the outage
     * yet, still vouches for the list from before it.
     */
    @Test
    public void exactListFromBeforeTheOutageDoesNotEndRetention() {
      DiscoveryReconciler reconciler = certain(list(2, "a", "b"));
      reconciler.readFailed(SECOND);
      read(reconciler, 5 * SECOND, list(2, "a", "b"));
      confirm(reconciler, list(2, "a", "b"), 2);
      assertTrue(reconciler.uncertain());
      assertEquals(read(reconciler, 6 * SECOND, list(3, "a")), Set.of("a", "b"));
    }

    /**
     * Guards against an instance that stays uncertain because a certain peer's age, rounded and
     * delayed, seems to grow by a millisecond between two messages.
     */
    @Test
    public void exactListAsOfTheSameTimeEndsTheUncertainty() {
      DiscoveryReconciler reconciler = new DiscoveryReconciler();
      ServerList first = inexact(list(2, "a"));
      assertTrue(reconciler.accepts(first, 6 * SECOND, 6 * SECOND));
      reconciler.adopt(first, 6 * SECOND);
      confirm(reconciler, list(2, "a"), 6 * SECOND - TimeUnit.MILLISECONDS.toNanos(1));
      assertFalse(reconciler.uncertain());
    }

    /**
     * Guards against an instance that cannot tell an outage from its own cut and brings back a
     * server that it knows to have left, or takes a leaving one for a ready one.
     */
    @Test
    public void uncertainPeerCannotUndoKnownDeparture() {
      DiscoveryReconciler reconciler = certain(list(2, "a", "left", "b"));
      ServerEntry leaving = Servers.entry("b", true);
      Map<String, ServerEntry> next = Map.of("a", Servers.entry("a", false), "b", leaving);
      reconciler.reconcile(new ServerList(Revision.of(0, 3), next), SECOND);
      ServerList returned = inexact(list(9, "a", "left", "b", "new"));
      assertTrue(reconciler.accepts(returned, 6 * SECOND, 6 * SECOND));
      Map<String, ServerEntry> used = reconciler.adopt(returned, 6 * SECOND).servers();
      assertEquals(used.keySet(), Set.of("a", "b", "new"));
      assertEquals(used.get("b"), leaving);
      assertTrue(read(reconciler, 7 * SECOND, list(10, "left")).contains("left"));
    }

    /** Guards against a starting instance whose first list vouches for what happened before. */
    @Test
    public void startingInstanceIsUncertainUntilItHasFollowedTheStore() {
      DiscoveryReconciler reconciler = new DiscoveryReconciler();
      assertFalse(reconciler.reconcile(list(1, "a"), 0).revision().exact());
      long end = DiscoveryReconciler.RETENTION_NANOS;
      assertEquals(reconciler.untilRetentionEndsNanos(0).orElseThrow(), end);
      assertTrue(reconciler.reconcile(list(1, "a"), end).revision().exact());
    }

    /** Guards against departed servers that are kept after a short failure of one instance. */
    @Test
    public void shortFailureIsNoOutage() {
      DiscoveryReconciler reconciler = certain(list(1, "a", "left"));
      reconciler.readFailed(SECOND);
      assertEquals(read(reconciler, 2 * SECOND - 1, list(2, "a")), Set.of("a"));
    }
  }
}
