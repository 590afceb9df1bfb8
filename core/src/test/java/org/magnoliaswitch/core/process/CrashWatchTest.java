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

/** What an instance makes of ends of servers that it sees and hears of. */
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
  private final List<CrashReport> told = new ArrayList<>();

  private CrashWatch watch() {
    told.clear();
    CrashWatch watch = new CrashWatch(clocks);
    watch.addListener(update -> told.addAll(update.newReports()));
    return watch;
  }

  @Test
  public void whatItSeesIsToldOnce() {
    CrashWatch watch = watch();
    watch.recordCrash(List.of(REQUEST), "a", false);
    watch.recordCrash(List.of(REQUEST), "a", false);
    assertEquals(told, List.of(new CrashReport.Crashed(REQUEST, "a", false)));
  }

  /** Two instances get a suspect at once; the one that hears of the other's trial makes none. */
  @Test
  public void aTrialElsewhereIsWaitedFor() {
    CrashWatch watch = watch();
    watch.recordCrash(List.of(REQUEST), "a", false);
    watch.recordCrash(List.of(REQUEST), "b", false);
    assertEquals(watch.verdict(REQUEST), Verdict.TRIAL);
    watch.receive(List.of(new CrashReport.TrialStarted(REQUEST, 1)), CrashWatch.Source.PEER);
    assertEquals(watch.verdict(REQUEST), Verdict.WAIT);
  }

  /**
   * All seeds are gone, so nobody would hear of a trial. Each of a hundred instances would make one
   * of its own, and a cause would end a hundred servers.
   */
  @Test
  public void anInstanceThatNobodyHearsMakesNoTrial() {
    CrashWatch watch = watch();
    watch.allowTrialsWhen(() -> false);
    watch.recordCrash(List.of(REQUEST), "a", false);
    assertEquals(watch.verdict(REQUEST), Verdict.ALLOWED);
    watch.recordCrash(List.of(REQUEST), "b", false);
    assertEquals(watch.verdict(REQUEST), Verdict.REFUSED);
  }

  @Test
  public void anAnswerClearsAndIsTold() {
    CrashWatch watch = watch();
    watch.recordCrash(List.of(REQUEST), "a", false);
    watch.recordCrash(List.of(REQUEST), "b", false);
    watch.recordAnswer(List.of(REQUEST), "c", nowNanos);
    assertEquals(watch.verdict(REQUEST), Verdict.ALLOWED);
    assertEquals(told.getLast(), new CrashReport.Cleared(REQUEST, Set.of("a", "b"), 0));
  }

  /** Another request's answer comes from a server that was thought to have ended. */
  @Test
  public void aSignOfLifeTakesTheBlameFromAll() {
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
  public void whileNothingIsKnownNothingIsLookedUp() {
    CrashWatch watch = watch();
    assertTrue(watch.isEmpty());
    watch.recordAnswer(List.of(REQUEST), "a", nowNanos);
    assertTrue(watch.isEmpty());
    assertEquals(told, List.of());
  }
}
