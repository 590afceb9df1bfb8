package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.peer.TeamNews;
import org.magnoliaswitch.front.process.ConfigurationConfirmation.Moment;
import org.magnoliaswitch.front.testing.ManualClock;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when the configuration counts as confirmed to be the newest. */
public final class ConfigurationConfirmationTest {
  private static long seconds(long seconds) {
    return TimeUnit.SECONDS.toNanos(seconds);
  }

  /** The clocks of the machine. */
  public static final class ClockTests {
    private ManualClock clock = new ManualClock();
    private ConfigurationConfirmation confirmation =
        new ConfigurationConfirmation(clock.withWallClock());

    @BeforeMethod
    public void start() {
      clock = new ManualClock();
      confirmation = new ConfigurationConfirmation(clock.withWallClock());
      confirmation.confirmed(confirmation.now());
    }

    @Test
    public void ageIsTheTimeSinceTheConfirmation() {
      clock.advance(seconds(3));
      assertEquals(confirmation.ageNanos(), seconds(3));
      assertEquals(confirmation.suspendedNanos(), 0);
    }

    /** Guards against trusting a configuration for which nothing was ever confirmed. */
    @Test
    public void nothingIsConfirmedAtTheStart() {
      ConfigurationConfirmation unknown = new ConfigurationConfirmation(clock.withWallClock());
      assertFalse(unknown.known());
      assertTrue(unknown.ageNanos() > seconds(3_600), "age: " + unknown.ageNanos());
      assertEquals(unknown.suspendedNanos(), 0);
    }

    /**
     * Guards against serving revoked keys after a suspension of the machine, during which the
     * monotonic clock stands still.
     */
    @Test
    public void suspensionCounts() {
      clock.advance(seconds(1));
      clock.advanceWallClock(60_000);
      assertEquals(confirmation.ageNanos(), seconds(61));
      assertEquals(confirmation.suspendedNanos(), seconds(60));
    }

    /** Guards against an age that a correction of the wall clock makes too small. */
    @Test
    public void wallClockThatIsSetBackDoesNotMakeTheConfigurationYounger() {
      clock.advance(seconds(4));
      clock.advanceWallClock(-3_600_000);
      assertEquals(confirmation.ageNanos(), seconds(4));
      clock.advance(seconds(4));
      assertEquals(confirmation.ageNanos(), seconds(8));
    }

    /** Guards against refusing for long after the wall clock was set forward. */
    @Test
    public void confirmationAfterAClockJumpCounts() {
      for (long jump : new long[] {3_600_000, -3_600_000}) {
        clock.advanceWallClock(jump);
        clock.advance(seconds(1));
        confirmation.confirmed(confirmation.now());
        assertEquals(confirmation.ageNanos(), 0);
        clock.advance(seconds(2));
        assertEquals(confirmation.ageNanos(), seconds(2));
      }
    }

    /** Guards against a read that began before a suspension and ended after it. */
    @Test
    public void readThatSpansASuspensionConfirmsItsBeginning() {
      Moment begun = confirmation.now();
      clock.advanceWallClock(20_000);
      confirmation.confirmed(begun);
      assertEquals(confirmation.ageNanos(), seconds(20));
    }

    /** Guards against an older confirmation that replaces a newer one. */
    @Test
    public void earlierConfirmationChangesNothing() {
      Moment early = confirmation.now();
      clock.advance(seconds(2));
      confirmation.confirmed(confirmation.now());
      confirmation.confirmed(early);
      confirmation.confirmed(early.minusMillis(500));
      assertEquals(confirmation.ageNanos(), 0);
    }
  }

  /** Messages of peers. */
  public static final class Peers {
    private final ManualClock clock = new ManualClock();
    private final TeamQuotas.QuotaLinks links = new TeamQuotas.QuotaLinks(List.of("seed"));
    private Environment environment = TestEnvironment.withoutConfiguration();
    private TeamSync sync = sync();

    private TeamSync sync() {
      return new TeamSync(
          environment, environment.loop(), links, seed -> Optional.empty(), listeners -> {});
    }

    @BeforeMethod
    public void start() {
      environment.loop().stop();
      environment =
          TestEnvironment.withoutConfiguration(clock.withWallClock(), TeamBounds.DEFAULT, links);
      sync = sync();
      links.remove(0);
      sync.received(0, news(1, 0, 0), true);
    }

    @AfterMethod
    public void stop() {
      environment.loop().stop();
    }

    private static TeamNews news(long number, long echoed, long ageMillis) {
      return new TeamNews(number, echoed, ageMillis, Optional.empty(), List.of(), Map.of());
    }

    private void report() {
      var unused = links.at(0).orElseThrow().report(List.of(), environment.confirmation().now());
    }

    /**
     * Guards against a message that was delayed in a queue, by a cut link or while this process was
     * frozen: it confirms the time of the echoed report, less the age that the peer states.
     */
    @Test
    public void lateMessageConfirmsNothingNewerThanTheEchoedReport() {
      report();
      clock.advance(seconds(3));
      report();
      sync.received(0, news(2, 1, 200), true);
      assertEquals(
          environment.confirmation().ageNanos(), seconds(3) + TimeUnit.MILLISECONDS.toNanos(200));
      clock.advanceWallClock(10_000);
      sync.received(0, news(3, 2, 0), true);
      assertEquals(environment.confirmation().ageNanos(), seconds(10));
    }

    /** Guards against a message without a known age, such as the first on a connection. */
    @Test
    public void messageThatEchoesNoReportConfirmsNothing() {
      assertFalse(environment.confirmation().known());
      report();
      sync.received(0, news(2, 0, 0), true);
      sync.received(0, news(3, 7, 0), true);
      assertFalse(environment.confirmation().known());
    }

    /** Guards against confirming a configuration to which the peer has a newer one. */
    @Test
    public void peerWithANewerConfigurationConfirmsNothing() {
      report();
      sync.received(0, news(2, 1, 0), false);
      assertFalse(environment.confirmation().known());
    }

    /** Guards against numbers of an earlier connection that are taken for those of this one. */
    @Test
    public void reportOfAnEarlierConnectionConfirmsNothing() {
      report();
      sync.disconnected(0);
      sync.received(0, news(1, 0, 0), true);
      sync.received(0, news(2, 1, 0), true);
      assertFalse(environment.confirmation().known());
    }
  }
}
