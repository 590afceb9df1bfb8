package org.magnoliaswitch.front.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.magnoliaswitch.front.peer.HeldConfiguration.Delivery;
import org.testng.annotations.Test;

/** When a listener is sent updates of the configuration. */
public final class UpdateFlowTest {
  private static final long START = 1_000;

  private static UpdateFlow flow(Delivery delivery) {
    UpdateFlow flow = new UpdateFlow();
    flow.holds(new HeldConfiguration(3, 0, delivery), START);
    return flow;
  }

  /** A listener that relies on this instance. */
  public static final class AtOnce {
    /** Guards against versions that queue up on a narrow link. */
    @Test
    public void nothingMoreIsSentUntilTheLastUpdateHasArrived() {
      UpdateFlow flow = flow(Delivery.IMMEDIATE);
      assertTrue(flow.send(4, START));
      assertFalse(flow.send(5, START + 1));
      assertFalse(flow.send(6, START + 2));
      flow.holds(new HeldConfiguration(4, 4, Delivery.IMMEDIATE), START + 3);
      assertTrue(flow.send(6, START + 3));
      assertEquals(flow.heldVersion(), 4);
    }

    /** Guards against a listener that is never sent anything again. */
    @Test
    public void anUpdateThatDidNotFitIsFollowedByAnother() {
      UpdateFlow flow = flow(Delivery.IMMEDIATE);
      assertTrue(flow.send(5, START));
      flow.holds(new HeldConfiguration(4, 5, Delivery.IMMEDIATE), START + 1);
      assertTrue(flow.send(5, START + 2));
      assertEquals(flow.heldVersion(), 4);
    }

    /** What another peer sends meanwhile says nothing of what is on its way here. */
    @Test
    public void newsOfAnOlderVersionLeaveTheUpdateUnderWay() {
      UpdateFlow flow = flow(Delivery.IMMEDIATE);
      assertTrue(flow.send(6, START));
      flow.holds(new HeldConfiguration(4, 0, Delivery.IMMEDIATE), START + 1);
      assertFalse(flow.send(6, START + 2));
    }

    @Test
    public void whoHasTheVersionIsSentNothing() {
      assertFalse(flow(Delivery.IMMEDIATE).send(3, START));
      assertFalse(flow(Delivery.IMMEDIATE).send(2, START));
    }
  }

  /** A listener that another instance sends updates to. */
  public static final class InReserve {
    /** Guards against a listener that stays behind with the instance that it relies on. */
    @Test
    public void itIsSentWhatItStillLacksAfterAWhile() {
      UpdateFlow flow = flow(Delivery.DEFERRED);
      assertFalse(flow.send(4, START));
      assertFalse(flow.send(4, START + UpdateFlow.RESERVE_NANOS - 1));
      assertTrue(flow.send(4, START + UpdateFlow.RESERVE_NANOS));
    }

    @Test
    public void whileItGetsOnNothingIsSent() {
      UpdateFlow flow = flow(Delivery.DEFERRED);
      assertFalse(flow.send(4, START));
      long later = START + UpdateFlow.RESERVE_NANOS;
      flow.holds(new HeldConfiguration(4, 0, Delivery.DEFERRED), later - 1);
      assertFalse(flow.send(5, later));
    }

    /** Guards against a quick succession of versions that puts the update off without end. */
    @Test
    public void newVersionsDoNotPutItOff() {
      UpdateFlow flow = flow(Delivery.DEFERRED);
      long version = 4;
      for (long at = 0; at < UpdateFlow.RESERVE_NANOS; at += UpdateFlow.RESERVE_NANOS / 4) {
        assertFalse(flow.send(version++, START + at));
      }
      assertTrue(flow.send(version, START + UpdateFlow.RESERVE_NANOS));
    }
  }

  @Test
  public void whoPassesUpdatesOnComesFirst() {
    assertTrue(flow(Delivery.FIRST).rank() < flow(Delivery.IMMEDIATE).rank());
    assertTrue(flow(Delivery.IMMEDIATE).rank() < flow(Delivery.DEFERRED).rank());
    assertTrue(flow(Delivery.DEFERRED).rank() < new UpdateFlow().rank());
  }

  @Test
  public void aListenerOfAnEarlierReleaseGetsNone() {
    UpdateFlow flow = new UpdateFlow();
    assertFalse(flow.known());
    assertFalse(flow.send(4, START));
  }
}
