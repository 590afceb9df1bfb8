package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.peer.MemberState;
import org.magnoliaswitch.core.testing.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests an instance's view of the other instances. */
public final class MembershipTest {
  private ManualClock time = new ManualClock();
  private Membership membership = new Membership(member("self", 1), time.clocks());

  @BeforeMethod
  public void setUp() {
    time = new ManualClock();
    membership = new Membership(member("self", 1), time.clocks());
  }

  @Test
  public void reportsAJoinOnce() {
    assertEquals(membership.merge(member("a", 1)), Membership.Change.JOINED);
    assertEquals(membership.merge(member("a", 2)), Membership.Change.NONE);
  }

  /**
   * An instance announces that it is leaving, and an older heartbeat of it arrives through a slow
   * peer. If the older update won, other instances would contact an instance that is gone; leaving
   * is therefore final.
   */
  @Test
  public void anOutdatedUpdateCannotUndoLeaving() {
    membership.merge(member("a", 1));
    assertEquals(
        membership.merge(member("a", 1).withHeartbeat(2, MemberState.LEAVING)),
        Membership.Change.LEFT);
    membership.merge(member("a", 3));
    assertTrue(membership.livePeers().isEmpty());
  }

  @Test
  public void aRestartUnderTheSameAddressIsAnotherMember() {
    membership.merge(member("first", 1).withHeartbeat(2, MemberState.LEAVING));
    assertEquals(membership.merge(member("second", 1)), Membership.Change.JOINED);
    assertEquals(membership.livePeers().size(), 1);
  }

  @Test
  public void aMemberWithoutUpdatesTimesOut() {
    membership.merge(member("a", 1));
    time.advance(Duration.ofSeconds(60));
    assertFalse(membership.live("a").isPresent());
    assertEquals(membership.size(), 1);
  }

  @Test
  public void repeatedOutdatedUpdatesDoNotKeepAMemberAlive() {
    membership.merge(member("a", 5));
    for (int i = 0; i < 60; i++) {
      time.advance(Duration.ofSeconds(1));
      membership.merge(member("a", 5));
    }
    assertFalse(membership.live("a").isPresent());
  }

  @Test
  public void aSampleIsBoundedWhateverTheNumberOfMembers() {
    for (int i = 0; i < 300; i++) {
      membership.merge(member("m" + i, 1));
    }
    assertEquals(membership.sample(4, new SplittableRandom(1)).size(), 5);
  }

  private static Member member(String incarnation, long heartbeat) {
    return new Member(
        incarnation, "entry-1", "dc-1", "127.0.0.1", 1, 2, 3, heartbeat, MemberState.SERVING);
  }
}
