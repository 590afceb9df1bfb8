package org.magnoliaswitch.core.crash;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** What follows from the ends of servers under requests. */
public final class CrashTableTest {
  private static final RequestIdentity REQUEST = new RequestIdentity(1, 2);
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long HOUR = TimeUnit.HOURS.toNanos(1);

  private static CrashReport.Crashed ended(String server) {
    return new CrashReport.Crashed(REQUEST, server, false);
  }

  private static CrashReport.Crashed warned(String server) {
    return new CrashReport.Crashed(REQUEST, server, true);
  }

  private static CrashReport.TrialStarted tried(int trial) {
    return new CrashReport.TrialStarted(REQUEST, trial);
  }

  private static CrashReport.Cleared cleared(String... servers) {
    return new CrashReport.Cleared(REQUEST, Set.of(servers), 1);
  }

  private static CrashTable after(CrashReport... reports) {
    return CrashTable.EMPTY.with(List.of(reports), 0).table();
  }

  /** From the first end to the verdict. */
  public static final class Verdicts {
    /**
     * A server ends and takes a dozen requests with it, all but one bystanders. Each may be sent to
     * a second server, or a crash would fail a dozen callers instead of none.
     */
    @Test
    public void oneEndHoldsNothingAgainstARequest() {
      assertEquals(after(ended("a")).verdict(REQUEST, 0), Verdict.ALLOWED);
      assertEquals(after(ended("a"), ended("a")).verdict(REQUEST, 0), Verdict.ALLOWED);
    }

    @Test
    public void afterTwoEndsOneServerIsRisked() {
      CrashTable suspect = after(ended("a"), ended("b"));
      assertEquals(suspect.verdict(REQUEST, 0), Verdict.TRIAL);
      CrashTable onTrial = suspect.with(List.of(tried(1)), 0).table();
      assertEquals(onTrial.verdict(REQUEST, SECOND), Verdict.WAIT);
      assertEquals(onTrial.verdict(REQUEST, 3 * SECOND), Verdict.REFUSED);
    }

    @Test
    public void aTrialThatEndsItsServerConfirms() {
      CrashTable confirmed = after(ended("a"), ended("b"), tried(1), warned("c"));
      assertEquals(confirmed.suspicionLevel(REQUEST), SuspicionLevel.CONFIRMED);
      assertEquals(confirmed.verdict(REQUEST, HOUR - SECOND), Verdict.REFUSED);
    }

    /**
     * A data centre loses power while a caller polls one path on eight of its servers at once. All
     * eight end under the same request, which has nothing to do with it; it is tried, not refused.
     */
    @Test
    public void endsOfOneMomentNeverConfirm() {
      CrashTable table = CrashTable.EMPTY;
      for (int i = 0; i < 8; i++) {
        table = table.with(List.of(ended("s" + i)), 0).table();
      }
      assertEquals(table.suspicionLevel(REQUEST), SuspicionLevel.SUSPECT);
      assertEquals(table.verdict(REQUEST, 0), Verdict.TRIAL);
    }

    /** The trial's server answers: everything that was held against the request is gone. */
    @Test
    public void anAnswerClears() {
      CrashTable cleared = after(ended("a"), ended("b"), tried(1), cleared("a", "b"));
      assertEquals(cleared.suspicionLevel(REQUEST), SuspicionLevel.UNSUSPECTED);
      CrashTable again = cleared.with(List.of(ended("c")), 0).table();
      assertEquals(again.verdict(REQUEST, 0), Verdict.ALLOWED);
    }

    /** Cleared and suspect once more: it is tried at once, as if it had never been tried. */
    @Test
    public void whatWasClearedIsTriedAtOnceWhenItIsSuspectAgain() {
      CrashTable again =
          after(ended("a"), ended("b"), tried(1), cleared("a", "b"), ended("c"), ended("d"));
      assertEquals(again.verdict(REQUEST, 0), Verdict.TRIAL);
    }

    /** A trial's caller leaves before the answer: the next one waits longer and longer. */
    @Test
    public void trialsThatTellNothingBecomeRare() {
      CrashTable once = after(ended("a"), ended("b"), tried(1));
      assertEquals(once.verdict(REQUEST, 9 * SECOND), Verdict.REFUSED);
      assertEquals(once.verdict(REQUEST, 11 * SECOND), Verdict.TRIAL);
      CrashTable twice = once.with(List.of(tried(2)), 0).table();
      assertEquals(twice.verdict(REQUEST, 59 * SECOND), Verdict.REFUSED);
      assertEquals(twice.verdict(REQUEST, 61 * SECOND), Verdict.TRIAL);
    }

    /**
     * A mended release serves what ended the last one; an unmended one loses one server an hour.
     */
    @Test
    public void aConfirmedRequestIsTriedOnceAnHour() {
      CrashTable confirmed = after(ended("a"), ended("b"), tried(1), warned("c"));
      assertEquals(confirmed.verdict(REQUEST, HOUR + SECOND), Verdict.TRIAL);
      CrashTable tried = confirmed.with(List.of(tried(2)), HOUR + SECOND).table();
      assertEquals(tried.verdict(REQUEST, HOUR + SECOND + 1), Verdict.REFUSED);
    }
  }

  /** Reports come late, twice and in any order. */
  public static final class Order {
    @Test
    public void anyOrderMeansTheSame() {
      List<CrashReport> reports =
          new ArrayList<>(
              List.of(ended("a"), ended("b"), tried(1), warned("c"), cleared("a"), tried(2)));
      CrashTable expected = CrashTable.EMPTY.with(reports, 0).table();
      Random random = new Random(7);
      for (int i = 0; i < 200; i++) {
        Collections.shuffle(reports, random);
        CrashTable table = CrashTable.EMPTY.with(reports, 0).table();
        table = table.with(reports.subList(0, random.nextInt(reports.size())), 0).table();
        assertEquals(table.serversCrashedDuring(REQUEST), expected.serversCrashedDuring(REQUEST));
        assertEquals(table.suspicionLevel(REQUEST), expected.suspicionLevel(REQUEST));
        assertEquals(table.trials(REQUEST), expected.trials(REQUEST));
      }
    }

    /** An instance was paused and tells of an end that was cleared long since. */
    @Test
    public void aLateReportOfAClearedEndChangesNothing() {
      CrashTable table = after(cleared("a"));
      assertEquals(table.with(List.of(ended("a"), ended("a")), 0).newReports(), List.of());
    }

    @Test
    public void onlyNewsArePassedOn() {
      CrashTable table = after(ended("a"), tried(1));
      List<CrashReport> reports = List.of(ended("a"), ended("b"), tried(1));
      assertEquals(table.with(reports, 0).newReports(), List.of(ended("b")));
    }

    /** A new listener is told everything, and then knows as much. */
    @Test
    public void allReportsTogetherMakeTheSameTable() {
      CrashTable table = after(ended("a"), ended("b"), tried(1), warned("c"), cleared("a"));
      CrashTable copy = CrashTable.EMPTY.with(table.reports(), 0).table();
      assertEquals(copy.serversCrashedDuring(REQUEST), table.serversCrashedDuring(REQUEST));
      assertEquals(copy.suspicionLevel(REQUEST), table.suspicionLevel(REQUEST));
      assertTrue(copy.cleared(REQUEST, "a"));
    }
  }

  /** Memory. */
  public static final class Bounds {
    private static RequestIdentity other(int number) {
      return new RequestIdentity(9, number);
    }

    /**
     * Somebody brings thousands of different requests to servers that are about to end. The one
     * under which three ended must not be forgotten for them.
     */
    @Test
    public void aFloodOfSingleEndsDoesNotPushACauseOut() {
      CrashTable table = after(ended("a"), ended("b"), tried(1), warned("c"));
      for (int i = 0; i < 3 * CrashTable.MAX_CASES; i++) {
        List<CrashReport> single = List.of(new CrashReport.Crashed(other(i), "s" + i, false));
        table = table.with(single, i + 1).table();
      }
      assertEquals(table.suspicionLevel(REQUEST), SuspicionLevel.CONFIRMED);
      assertEquals(table.serversCrashedDuring(other(0)), Set.of());
      assertEquals(table.count(SuspicionLevel.UNSUSPECTED), CrashTable.MAX_CASES - 1);
    }

    @Test
    public void whatHasBeenQuietIsForgotten() {
      CrashTable single = after(ended("a"));
      assertFalse(single.withoutExpired(TimeUnit.MINUTES.toNanos(9)).isEmpty());
      assertTrue(single.withoutExpired(TimeUnit.MINUTES.toNanos(11)).isEmpty());
      CrashTable confirmed = after(ended("a"), ended("b"), tried(1), warned("c"));
      assertFalse(confirmed.withoutExpired(23 * HOUR).isEmpty());
      assertTrue(confirmed.withoutExpired(25 * HOUR).isEmpty());
    }

    /** Somebody clears and ends again and again: sets stay small, and the last word counts. */
    @Test
    public void manyClearancesAreBounded() {
      CrashTable table = CrashTable.EMPTY;
      for (int i = 0; i < 100; i++) {
        table = table.with(List.of(ended("s" + i), cleared("s" + i)), 0).table();
      }
      assertTrue(table.reports().size() <= 2);
      assertEquals(table.serversCrashedDuring(REQUEST), Set.of());
      assertTrue(table.cleared(REQUEST, "s99"));
    }
  }

  /** One end has one cause. */
  public static final class Causes {
    private static final RequestIdentity BYSTANDER = new RequestIdentity(3, 4);

    private static CrashReport.Crashed beside(String server, boolean warned) {
      return new CrashReport.Crashed(BYSTANDER, server, warned);
    }

    /**
     * A caller polls one path while another brings a deadly request, and has copies on three of the
     * servers that end; its trial goes to the third. Once the deadly request is confirmed, its ends
     * are no longer the poller's, who would be turned away for an hour.
     */
    @Test
    public void endsOfAConfirmedRequestAreNobodyElses() {
      CrashTable table =
          after(
              ended("a"),
              ended("b"),
              ended("c"),
              warned("d"),
              beside("b", false),
              beside("c", false),
              beside("d", true));
      assertEquals(table.suspicionLevel(REQUEST), SuspicionLevel.CONFIRMED);
      assertEquals(table.suspicionLevel(BYSTANDER), SuspicionLevel.UNSUSPECTED);
      assertEquals(table.verdict(BYSTANDER, 0), Verdict.ALLOWED);
    }

    /**
     * All ends came with one caller, whose request may differ from others' in what is not looked
     * at. Others who ask for the same are let through; when a server ends under one of them too,
     * nobody is.
     */
    @Test
    public void oneCallerHasNobodyElseTurnedAway() {
      RequestIdentity content = RequestIdentity.ofContent("GET", "h", "/a", new byte[0]);
      RequestIdentity one = content.forCaller("10.0.0.1");
      RequestIdentity other = content.forCaller("10.0.0.2");
      CrashTable table = CrashTable.EMPTY;
      for (String server : List.of("a", "b", "c")) {
        List<CrashReport> reports =
            List.of(
                new CrashReport.Crashed(content, server, server.equals("c")),
                new CrashReport.Crashed(one, server, server.equals("c")));
        table = table.with(reports, 0).table();
      }
      assertEquals(table.verdict(one, 0), Verdict.REFUSED);
      assertEquals(table.verdict(content, 0), Verdict.ALLOWED);
      List<CrashReport> fourth =
          List.of(
              new CrashReport.Crashed(content, "d", false),
              new CrashReport.Crashed(other, "d", false));
      table = table.with(fourth, 0).table();
      assertEquals(table.verdict(content, 0), Verdict.REFUSED);
    }

    /** Two deadly requests at a time: each has ends that the other does not explain. */
    @Test
    public void twoCausesAreBothConfirmed() {
      CrashTable table =
          after(
              ended("a"),
              ended("b"),
              ended("c"),
              warned("d"),
              beside("c", false),
              beside("x", false),
              beside("y", false),
              beside("z", true));
      assertEquals(table.suspicionLevel(REQUEST), SuspicionLevel.CONFIRMED);
      assertEquals(table.suspicionLevel(BYSTANDER), SuspicionLevel.CONFIRMED);
    }
  }

  /** Servers that were believed to have ended. */
  public static final class Life {
    /**
     * A server whose connections were reset and that refused one for a moment answers again. Its
     * end was none, and is taken from every request that was blamed with it.
     */
    @Test
    public void aServerThatAnswersHasNotEnded() {
      CrashTable table = after(ended("a"), ended("b"));
      assertTrue(table.presumedCrashed("a"));
      CrashTable lives = table.with(table.clearancesForServer("a", SECOND), SECOND).table();
      assertEquals(lives.serversCrashedDuring(REQUEST), Set.of("b"));
    }

    /** An answer to what was sent before the end says nothing: it was made before. */
    @Test
    public void anAnswerFromBeforeTheEndClearsNothing() {
      CrashTable table = CrashTable.EMPTY.with(List.of(ended("a")), SECOND).table();
      assertEquals(table.clearancesForServer("a", SECOND - 1), List.of());
    }
  }
}
