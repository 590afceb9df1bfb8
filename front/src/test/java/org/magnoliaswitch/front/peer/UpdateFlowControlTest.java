package org.magnoliaswitch.front.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.magnoliaswitch.front.peer.HeldConfiguration.Delivery;
import org.testng.annotations.Test;

/** Tests when a listener is sent configuration updates. */
public final class UpdateFlowControlTest {
  private static final long START = 1_000;

  private static UpdateFlowControl flow(Delivery delivery) {
    UpdateFlowControl flow = new UpdateFlowControl();
    flow.acknowledged(new HeldConfiguration(3, 0, delivery), START);
    return flow;
  }

  /** Tests a listener that relies on this instance for updates. */
  public static final class ImmediateDelivery {
    /** Guards against versions that queue up on a slow link. */
    @Test
    public void nextUpdateWaitsForAcknowledgement() {
      UpdateFlowControl flow = flow(Delivery.IMMEDIATE);
      assertTrue(flow.startUpdate(4, START));
      assertFalse(flow.startUpdate(5, START + 1));
      assertFalse(flow.startUpdate(6, START + 2));
      flow.acknowledged(new HeldConfiguration(4, 4, Delivery.IMMEDIATE), START + 3);
      assertTrue(flow.startUpdate(6, START + 3));
      assertEquals(flow.heldVersion(), 4);
    }

    /**
     * Guards against a listener that is sent no further updates after one that it received but
     * could not apply to its version.
     */
    @Test
    public void updateThatWasNotAppliedIsFollowedByAnother() {
      UpdateFlowControl flow = flow(Delivery.IMMEDIATE);
      assertTrue(flow.startUpdate(5, START));
      flow.acknowledged(new HeldConfiguration(4, 5, Delivery.IMMEDIATE), START + 1);
      assertTrue(flow.startUpdate(5, START + 2));
      assertEquals(flow.heldVersion(), 4);
    }

    /** A version received from another peer does not acknowledge the update in flight. */
    @Test
    public void acknowledgementOfAnOlderVersionKeepsTheUpdateInFlight() {
      UpdateFlowControl flow = flow(Delivery.IMMEDIATE);
      assertTrue(flow.startUpdate(6, START));
      flow.acknowledged(new HeldConfiguration(4, 0, Delivery.IMMEDIATE), START + 1);
      assertFalse(flow.startUpdate(6, START + 2));
    }

    @Test
    public void upToDateListenerIsSentNothing() {
      assertFalse(flow(Delivery.IMMEDIATE).startUpdate(3, START));
      assertFalse(flow(Delivery.IMMEDIATE).startUpdate(2, START));
    }
  }

  /** Tests a listener that another instance sends updates to. */
  public static final class DeferredDelivery {
    /** Guards against a listener that stays outdated because its preferred peer is outdated. */
    @Test
    public void outdatedListenerIsSentAnUpdateAfterTheDelay() {
      UpdateFlowControl flow = flow(Delivery.DEFERRED);
      assertFalse(flow.startUpdate(4, START));
      assertFalse(flow.startUpdate(4, START + UpdateFlowControl.DEFERRED_DELAY_NANOS - 1));
      assertTrue(flow.startUpdate(4, START + UpdateFlowControl.DEFERRED_DELAY_NANOS));
    }

    @Test
    public void progressRestartsTheDelay() {
      UpdateFlowControl flow = flow(Delivery.DEFERRED);
      assertFalse(flow.startUpdate(4, START));
      long later = START + UpdateFlowControl.DEFERRED_DELAY_NANOS;
      flow.acknowledged(new HeldConfiguration(4, 0, Delivery.DEFERRED), later - 1);
      assertFalse(flow.startUpdate(5, later));
    }

    /** Guards against versions in quick succession that postpone the update indefinitely. */
    @Test
    public void newVersionsDoNotRestartTheDelay() {
      UpdateFlowControl flow = flow(Delivery.DEFERRED);
      long version = 4;
      for (long at = 0;
          at < UpdateFlowControl.DEFERRED_DELAY_NANOS;
          at += UpdateFlowControl.DEFERRED_DELAY_NANOS / 4) {
        assertFalse(flow.startUpdate(version++, START + at));
      }
      assertTrue(flow.startUpdate(version, START + UpdateFlowControl.DEFERRED_DELAY_NANOS));
    }
  }

  @Test
  public void listenersThatForwardUpdatesComeFirst() {
    assertTrue(flow(Delivery.FIRST).sendOrder() < flow(Delivery.IMMEDIATE).sendOrder());
    assertTrue(flow(Delivery.IMMEDIATE).sendOrder() < flow(Delivery.DEFERRED).sendOrder());
    assertTrue(flow(Delivery.DEFERRED).sendOrder() < new UpdateFlowControl().sendOrder());
  }

  @Test
  public void listenerOfAnEarlierReleaseIsSentNoUpdates() {
    UpdateFlowControl flow = new UpdateFlowControl();
    assertFalse(flow.hasAcknowledged());
    assertFalse(flow.startUpdate(4, START));
  }
}
