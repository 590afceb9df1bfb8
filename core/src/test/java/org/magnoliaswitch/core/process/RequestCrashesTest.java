package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.core.crash.RequestIdentity;
import org.magnoliaswitch.core.crash.Verdict;
import org.magnoliaswitch.core.testing.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how one request may be sent while servers crash during requests like it. */
public final class RequestCrashesTest {
  private static final Duration TRIAL_DELAY = Duration.ofMillis(50);
  private static final RequestIdentity REQUEST = new RequestIdentity(1, 2);

  private ManualClock time;
  private CrashWatch watch;

  /** Two servers crashed while serving the request, so the next server to get it is at risk. */
  @BeforeMethod
  public void setUp() {
    time = new ManualClock();
    watch = new CrashWatch(time.clocks());
    watch.receive(
        List.of(
            new CrashReport.Crashed(REQUEST, "a@0", false),
            new CrashReport.Crashed(REQUEST, "b@0", false)),
        CrashWatch.Source.PEER);
  }

  private RequestCrashes request(Duration trialDelay) {
    return new RequestCrashes(
        watch,
        time.clocks(),
        trialDelay.toNanos(),
        () -> RequestCrashes.Identities.of(REQUEST, "127.0.0.1"));
  }

  /**
   * A caller sends a request that crashes servers, and retries as soon as an attempt fails. It
   * reaches the next instance a few milliseconds after its trial began at another one, before the
   * report of the trial arrives. The instance must wait for the report, or each instance loses a
   * server: one request crashed seven servers where six were allowed, three of them within 13 ms at
   * three instances.
   */
  @Test
  public void aTrialThatBeganElsewhereJustBeforeIsAwaited() {
    RequestCrashes request = request(TRIAL_DELAY);
    assertEquals(request.admit(), Verdict.WAIT);
    time.advance(Duration.ofMillis(10));
    watch.receive(List.of(new CrashReport.TrialStarted(REQUEST, 1)), CrashWatch.Source.PEER);
    time.advance(TRIAL_DELAY);
    assertEquals(request.admit(), Verdict.WAIT);
    watch.receive(List.of(new CrashReport.Crashed(REQUEST, "c@0", true)), CrashWatch.Source.PEER);
    assertEquals(request.admit(), Verdict.REFUSED);
  }

  /**
   * No other instance begins a trial, so the request is sent after the delay; an answer clears it.
   */
  @Test
  public void withoutReportsTheTrialBeginsAfterTheDelay() {
    RequestCrashes request = request(TRIAL_DELAY);
    assertEquals(request.verdict(), Verdict.WAIT);
    time.advance(TRIAL_DELAY);
    assertEquals(request.admit(), Verdict.TRIAL);
    assertEquals(watch.table().trials(REQUEST), 1);
  }

  /** Where requests cannot wait, a delay would reject the caller again and again. */
  @Test
  public void withoutADelayTheTrialBeginsAtOnce() {
    assertEquals(request(Duration.ZERO).admit(), Verdict.TRIAL);
  }
}
