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

/** What one request may do while servers end under requests like it. */
public final class RequestCrashesTest {
  private static final Duration NOTICE = Duration.ofMillis(50);
  private static final RequestIdentity REQUEST = new RequestIdentity(1, 2);

  private ManualClock time;
  private CrashWatch watch;

  /** Two servers ended under the request, so the next one to get it is at risk. */
  @BeforeMethod
  public void start() {
    time = new ManualClock();
    watch = new CrashWatch(time.clocks());
    watch.receive(
        List.of(
            new CrashReport.Crashed(REQUEST, "a@0", false),
            new CrashReport.Crashed(REQUEST, "b@0", false)),
        CrashWatch.Source.PEER);
  }

  private RequestCrashes request(Duration notice) {
    return new RequestCrashes(
        watch,
        time.clocks(),
        notice.toNanos(),
        () -> RequestCrashes.Identities.of(REQUEST, "127.0.0.1"));
  }

  /**
   * A caller brings a request that ends servers, and comes back as soon as a try fails. It reaches
   * the next instance a few milliseconds after its trial at another one began, before that is known
   * here. The trial must be heard of first, or each instance loses a server to it: seven ended
   * under one request where six were allowed, three of them within 13 ms at three instances.
   */
  @Test
  public void aTrialThatBeganElsewhereAMomentAgoIsHeardOfFirst() {
    RequestCrashes request = request(NOTICE);
    assertEquals(request.admit(), Verdict.WAIT);
    time.advance(Duration.ofMillis(10));
    watch.receive(List.of(new CrashReport.TrialStarted(REQUEST, 1)), CrashWatch.Source.PEER);
    time.advance(NOTICE);
    assertEquals(request.admit(), Verdict.WAIT);
    watch.receive(List.of(new CrashReport.Crashed(REQUEST, "c@0", true)), CrashWatch.Source.PEER);
    assertEquals(request.admit(), Verdict.REFUSED);
  }

  /** Nobody else tries it, so it goes to a server after the notice: an answer would clear it. */
  @Test
  public void withoutNewsItsTrialBeginsAfterTheNotice() {
    RequestCrashes request = request(NOTICE);
    assertEquals(request.verdict(), Verdict.WAIT);
    time.advance(NOTICE);
    assertEquals(request.admit(), Verdict.TRIAL);
    assertEquals(watch.table().trials(REQUEST), 1);
  }

  /** Where requests cannot wait, a caller would be turned away again and again. */
  @Test
  public void withoutANoticeItsTrialBeginsAtOnce() {
    assertEquals(request(Duration.ZERO).admit(), Verdict.TRIAL);
  }
}
