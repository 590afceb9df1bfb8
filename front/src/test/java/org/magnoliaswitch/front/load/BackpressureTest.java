package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.OptionalDouble;
import org.testng.annotations.Test;

/** What a server asks of its callers, as its answers come in. */
public final class BackpressureTest {
  private static final ServerNotice LIMITED = new ServerNotice(false, OptionalDouble.of(4.6), 0);

  /** Limits of requests a second. */
  public static final class Limit {
    private static final OptionalDouble FREE = OptionalDouble.empty();

    @Test
    public void holdsUntilAnAnswerToALaterRequestNamesNone() {
      Backpressure server = new Backpressure();
      server.recordAnswer(LIMITED, 0, 100);
      assertEquals(server.requestsPerSecond(), LIMITED.requestsPerSecond());
      server.recordAnswer(ServerNotice.NONE, 101, 200);
      assertEquals(server.requestsPerSecond(), FREE);
    }

    /** Guards against a limit that is dropped because an older answer arrived after a newer one. */
    @Test
    public void anAnswerToAnEarlierRequestDoesNotLiftIt() {
      Backpressure server = new Backpressure();
      server.recordAnswer(LIMITED, 50, 100);
      server.recordAnswer(ServerNotice.NONE, 0, 110);
      assertEquals(server.requestsPerSecond(), LIMITED.requestsPerSecond());
    }

    /** Guards against servers whose health checks and refusals say nothing of their limit. */
    @Test
    public void aHealthCheckOrRefusalNamesItButDoesNotLiftIt() {
      Backpressure server = new Backpressure();
      server.recordNotice(LIMITED, 100);
      assertEquals(server.requestsPerSecond(), LIMITED.requestsPerSecond());
      server.recordNotice(ServerNotice.NONE, 120);
      assertEquals(server.requestsPerSecond(), LIMITED.requestsPerSecond());
    }

    @Test
    public void allowsNoChecksUntilItIsLifted() {
      Backpressure server = new Backpressure();
      assertTrue(server.allowsProbes(0));
      server.recordAnswer(LIMITED, 0, 100);
      assertFalse(server.allowsProbes(110));
      server.recordAnswer(ServerNotice.NONE, 120, 130);
      assertTrue(server.allowsProbes(140));
    }

    @Test
    public void knowsWhenItWasLastNamed() {
      Backpressure server = new Backpressure();
      server.recordAnswer(LIMITED, 0, 100);
      server.recordAnswer(LIMITED, 110, 200);
      assertEquals(server.limitAgeNanos(250), 50);
    }
  }
}
