package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.OptionalDouble;
import org.testng.annotations.Test;

/** Tests the backpressure that a server signals in its answers. */
public final class BackpressureTest {
  private static final ServerNotice LIMITED = new ServerNotice(false, OptionalDouble.of(4.6), 0);

  /** Limits of requests per second. */
  public static final class Limit {
    private static final OptionalDouble NO_LIMIT = OptionalDouble.empty();

    @Test
    public void appliesUntilAnAnswerToALaterRequestOmitsIt() {
      Backpressure server = new Backpressure();
      server.recordAnswer(LIMITED, 0, 100);
      assertEquals(server.requestsPerSecond(), LIMITED.requestsPerSecond());
      server.recordAnswer(ServerNotice.NONE, 101, 200);
      assertEquals(server.requestsPerSecond(), NO_LIMIT);
    }

    /** Guards against lifting a limit because an older answer arrived after a newer one. */
    @Test
    public void anAnswerToAnEarlierRequestDoesNotLiftIt() {
      Backpressure server = new Backpressure();
      server.recordAnswer(LIMITED, 50, 100);
      server.recordAnswer(ServerNotice.NONE, 0, 110);
      assertEquals(server.requestsPerSecond(), LIMITED.requestsPerSecond());
    }

    /**
     * Guards against lifting the limit of servers whose health checks and rejections do not contain
     * it.
     */
    @Test
    public void aHealthCheckOrRejectionSetsButDoesNotLiftIt() {
      Backpressure server = new Backpressure();
      server.recordNotice(LIMITED, 100);
      assertEquals(server.requestsPerSecond(), LIMITED.requestsPerSecond());
      server.recordNotice(ServerNotice.NONE, 120);
      assertEquals(server.requestsPerSecond(), LIMITED.requestsPerSecond());
    }

    @Test
    public void allowsNoProbesUntilItIsLifted() {
      Backpressure server = new Backpressure();
      assertTrue(server.allowsProbes(0));
      server.recordAnswer(LIMITED, 0, 100);
      assertFalse(server.allowsProbes(110));
      server.recordAnswer(ServerNotice.NONE, 120, 130);
      assertTrue(server.allowsProbes(140));
    }

    @Test
    public void tracksWhenItWasLastReceived() {
      Backpressure server = new Backpressure();
      server.recordAnswer(LIMITED, 0, 100);
      server.recordAnswer(LIMITED, 110, 200);
      assertEquals(server.limitAgeNanos(250), 50);
    }
  }
}
