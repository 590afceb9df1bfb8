package org.magnoliaswitch.front.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.magnoliaswitch.front.peer.HeldConfiguration.Delivery;
import org.testng.annotations.Test;

/** When a listener is sent updates of the configuration. */
public final class UpdateFlowControlTest {
  private static final long START = 1_000;

  private static UpdateFlowControl flow(Delivery delivery) {
    UpdateFlowControl flow = new UpdateFlowControl();
    flow.acknowledged(new HeldConfiguration(3, 0, delivery), START);
    return flow;
  }

  /** A listener that relies on this instance. */
  public static final class AtOnce {
    /** Guards against versions that queue up on a narrow link. */
    @Test
    public void nothingMoreIsSentUntilTheLastUpdateHasArrived() {
      UpdateFlowControl flow = flow(Delivery.IMMEDIATE);
      assertTrue(flow.startUpdate(4, START));
      assertFalse(flow.startUpdate(5, START + 1));
      assertFalse(flow.startUpdate(6, START + 2));
      flow.acknowledged(new HeldConfiguration(4, 4, Delivery.IMMEDIATE), START + 3);
      assertTrue(flow.startUpdate(6, START + 3));
      assertEquals(flow.heldVersion(), 4);
    }

    /** Guards against a listener that is never sent anything again. */
    @Test
    public void anUpdateThatDidNotFitIsFollowedByAnother() {
      UpdateFlowControl flow = flow(Delivery.IMMEDIATE);
      assertTrue(flow.startUpdate(5, START));
      flow.acknowledged(new HeldConfiguration(4, 5, Delivery.IMMEDIATE), START + 1);
      assertTrue(flow.startUpdate(5, START + 2));
      assertEquals(flow.heldVersion(), 4);
    }

    /** What another peer sends meanwhile says nothing of what is on its way here. */
    @Test
    public void newsOfAnOlderVersionLeaveTheUpdateUnderWay() {
      UpdateFlowControl flow = flow(Delivery.IMMEDIATE);
      assertTrue(flow.startUpdate(6, START));
      flow.acknowledged(new HeldConfiguration(4, 0, Delivery.IMMEDIATE), START + 1);
      assertFalse(flow.startUpdate(6, START + 2));
    }

    @Test
    public void whoHasTheVersionIsSentNothing() {
      assertFalse(flow(Delivery.IMMEDIATE).startUpdate(3, START));
      assertFalse(flow(Delivery.IMMEDIATE).startUpdate(2, START));
    }
  }

  /** A listener that another instance sends updates to. */
  public static final class InReserve {
    /** Guards against a listener that stays behind with the instance that it relies on. */
    @Test
    public void itIsSentWhatItStillLacksAfterAWhile() {
      UpdateFlowControl flow = flow(Delivery.DEFERRED);
      assertFalse(flow.startUpdate(4, START));
      assertFalse(flow.startUpdate(4, START + UpdateFlowControl.DEFERRED_DELAY_NANOS - 1));
      assertTrue(flow.startUpdate(4, START + UpdateFlowControl.DEFERRED_DELAY_NANOS));
    }

    @Test
    public void whileItGetsOnNothingIsSent() {
      UpdateFlowControl flow = flow(Delivery.DEFERRED);
      assertFalse(flow.startUpdate(4, START));
      long later = START + UpdateFlowControl.DEFERRED_DELAY_NANOS;
      flow.acknowledged(new HeldConfiguration(4, 0, Delivery.DEFERRED), later - 1);
      assertFalse(flow.startUpdate(5, later));
    }

    /** Guards against a quick succession of versions that puts the update off without end. */
    @Test
    public void newVersionsDoNotPutItOff() {
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
  public void whoPassesUpdatesOnComesFirst() {
    assertTrue(flow(Delivery.FIRST).sendOrder() < flow(Delivery.IMMEDIATE).sendOrder());
    assertTrue(flow(Delivery.IMMEDIATE).sendOrder() < flow(Delivery.DEFERRED).sendOrder());
    assertTrue(flow(Delivery.DEFERRED).sendOrder() < new UpdateFlowControl().sendOrder());
  }

  @Test
  public void aListenerOfAnEarlierReleaseGetsNone() {
    UpdateFlowControl flow = new UpdateFlowControl();
    assertFalse(flow.hasAcknowledged());
    assertFalse(flow.startUpdate(4, START));
  }
}
