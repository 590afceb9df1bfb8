package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.base.Ticker;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.core.crash.RequestIdentity;
import org.magnoliaswitch.core.crash.Verdict;
import org.testng.annotations.Test;

/** Tests how an instance handles its own and received reports of crashes. */
public final class CrashWatchTest {
  private static final RequestIdentity REQUEST = new RequestIdentity(1, 2);

  private long nowNanos = 1_000;
  private final Clocks clocks =
      new Clocks(
          InstantSource.system(),
          new Ticker() {
            @Override
            public long read() {
              return nowNanos;
            }
          });
  private final List<CrashReport> published = new ArrayList<>();

  private CrashWatch watch() {
    published.clear();
    CrashWatch watch = new CrashWatch(clocks);
    watch.addListener(update -> published.addAll(update.newReports()));
    return watch;
  }

  @Test
  public void observedCrashesArePublishedOnce() {
    CrashWatch watch = watch();
    watch.recordCrash(List.of(REQUEST), "a", false);
    watch.recordCrash(List.of(REQUEST), "a", false);
    assertEquals(published, List.of(new CrashReport.Crashed(REQUEST, "a", false)));
  }

  /**
   * Two instances get a suspect request at the same time; the instance that receives the report of
   * the other's trial begins none.
   */
  @Test
  public void aTrialElsewhereIsAwaited() {
    CrashWatch watch = watch();
    watch.recordCrash(List.of(REQUEST), "a", false);
    watch.recordCrash(List.of(REQUEST), "b", false);
    assertEquals(watch.verdict(REQUEST), Verdict.TRIAL);
    watch.receive(List.of(new CrashReport.TrialStarted(REQUEST, 1)), CrashWatch.Source.PEER);
    assertEquals(watch.verdict(REQUEST), Verdict.WAIT);
  }

  /**
   * All seeds are gone, so no other instance would receive the report of a trial. Each of a hundred
   * instances would begin a trial of its own, and a request that crashes servers would crash a
   * hundred.
   */
  @Test
  public void anInstanceThatReachesNoOtherBeginsNoTrial() {
    CrashWatch watch = watch();
    watch.allowTrialsWhen(() -> false);
    watch.recordCrash(List.of(REQUEST), "a", false);
    assertEquals(watch.verdict(REQUEST), Verdict.ALLOWED);
    watch.recordCrash(List.of(REQUEST), "b", false);
    assertEquals(watch.verdict(REQUEST), Verdict.REFUSED);
  }

  @Test
  public void anAnswerClearsTheRequestAndIsPublished() {
    CrashWatch watch = watch();
    watch.recordCrash(List.of(REQUEST), "a", false);
    watch.recordCrash(List.of(REQUEST), "b", false);
    watch.recordAnswer(List.of(REQUEST), "c", nowNanos);
    assertEquals(watch.verdict(REQUEST), Verdict.ALLOWED);
    assertEquals(published.getLast(), new CrashReport.Cleared(REQUEST, Set.of("a", "b"), 0));
  }

  /** A server that was presumed to have crashed answers another request. */
  @Test
  public void aServerThatAnswersIsClearedOfItsCrash() {
    CrashWatch watch = watch();
    watch.recordCrash(List.of(REQUEST), "a", false);
    long sentBefore = nowNanos - 1;
    watch.recordAnswer(List.of(new RequestIdentity(3, 4)), "a", sentBefore);
    assertEquals(watch.table().serversCrashedDuring(REQUEST), Set.of("a"));
    nowNanos++;
    watch.recordAnswer(List.of(new RequestIdentity(3, 4)), "a", nowNanos);
    assertEquals(watch.table().serversCrashedDuring(REQUEST), Set.of());
  }

  @Test
  public void withoutReportsNothingIsLookedUp() {
    CrashWatch watch = watch();
    assertTrue(watch.isEmpty());
    watch.recordAnswer(List.of(REQUEST), "a", nowNanos);
    assertTrue(watch.isEmpty());
    assertEquals(published, List.of());
  }
}
