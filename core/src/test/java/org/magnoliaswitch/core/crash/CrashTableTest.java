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

/** Tests the conclusions from crashes of servers while they serve requests. */
public final class CrashTableTest {
  private static final RequestIdentity REQUEST = new RequestIdentity(1, 2);
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long HOUR = TimeUnit.HOURS.toNanos(1);

  private static CrashReport.Crashed crashed(String server) {
    return new CrashReport.Crashed(REQUEST, server, false);
  }

  private static CrashReport.Crashed warned(String server) {
    return new CrashReport.Crashed(REQUEST, server, true);
  }

  private static CrashReport.TrialStarted trialStarted(int trialNumber) {
    return new CrashReport.TrialStarted(REQUEST, trialNumber);
  }

  private static CrashReport.Cleared cleared(String... servers) {
    return new CrashReport.Cleared(REQUEST, Set.of(servers), 1);
  }

  private static CrashTable after(CrashReport... reports) {
    return CrashTable.EMPTY.with(List.of(reports), 0).table();
  }

  /** From the first crash to the verdict. */
  public static final class Verdicts {
    /**
     * Guards against failing a dozen callers because of one crash. A server crashes with a dozen
     * requests, all but one of them bystanders; each may be sent to a second server.
     */
    @Test
    public void oneCrashHoldsNothingAgainstARequest() {
      assertEquals(after(crashed("a")).verdict(REQUEST, 0), Verdict.ALLOWED);
      assertEquals(after(crashed("a"), crashed("a")).verdict(REQUEST, 0), Verdict.ALLOWED);
    }

    @Test
    public void afterTwoCrashesOneServerIsRisked() {
      CrashTable suspect = after(crashed("a"), crashed("b"));
      assertEquals(suspect.verdict(REQUEST, 0), Verdict.TRIAL);
      CrashTable duringTrial = suspect.with(List.of(trialStarted(1)), 0).table();
      assertEquals(duringTrial.verdict(REQUEST, SECOND), Verdict.WAIT);
      assertEquals(duringTrial.verdict(REQUEST, 3 * SECOND), Verdict.REFUSED);
    }

    @Test
    public void aTrialThatCrashesItsServerConfirms() {
      CrashTable confirmed = after(crashed("a"), crashed("b"), trialStarted(1), warned("c"));
      assertEquals(confirmed.suspicionLevel(REQUEST), SuspicionLevel.CONFIRMED);
      assertEquals(confirmed.verdict(REQUEST, HOUR - SECOND), Verdict.REFUSED);
    }

    /**
     * Guards against confirming a bystander. A data centre loses power while a caller polls one
     * path on eight of its servers; all eight crash while serving the same request, which is not
     * the cause. It gets a trial and is not refused.
     */
    @Test
    public void simultaneousCrashesNeverConfirm() {
      CrashTable table = CrashTable.EMPTY;
      for (int i = 0; i < 8; i++) {
        table = table.with(List.of(crashed("s" + i)), 0).table();
      }
      assertEquals(table.suspicionLevel(REQUEST), SuspicionLevel.SUSPECT);
      assertEquals(table.verdict(REQUEST, 0), Verdict.TRIAL);
    }

    /** The server of the trial answers, which clears everything counted against the request. */
    @Test
    public void anAnswerClears() {
      CrashTable cleared = after(crashed("a"), crashed("b"), trialStarted(1), cleared("a", "b"));
      assertEquals(cleared.suspicionLevel(REQUEST), SuspicionLevel.UNSUSPECTED);
      CrashTable again = cleared.with(List.of(crashed("c")), 0).table();
      assertEquals(again.verdict(REQUEST, 0), Verdict.ALLOWED);
    }

    /**
     * A request that was cleared and becomes suspect again gets a trial immediately, as if it had
     * never had one.
     */
    @Test
    public void aClearedRequestIsTriedImmediatelyWhenItIsSuspectAgain() {
      CrashTable again =
          after(
              crashed("a"),
              crashed("b"),
              trialStarted(1),
              cleared("a", "b"),
              crashed("c"),
              crashed("d"));
      assertEquals(again.verdict(REQUEST, 0), Verdict.TRIAL);
    }

    /**
     * When the caller leaves before the trial is answered, the interval to the next trial grows.
     */
    @Test
    public void inconclusiveTrialsBecomeRare() {
      CrashTable once = after(crashed("a"), crashed("b"), trialStarted(1));
      assertEquals(once.verdict(REQUEST, 9 * SECOND), Verdict.REFUSED);
      assertEquals(once.verdict(REQUEST, 11 * SECOND), Verdict.TRIAL);
      CrashTable twice = once.with(List.of(trialStarted(2)), 0).table();
      assertEquals(twice.verdict(REQUEST, 59 * SECOND), Verdict.REFUSED);
      assertEquals(twice.verdict(REQUEST, 61 * SECOND), Verdict.TRIAL);
    }

    /**
     * A fixed release serves a request that crashed the previous one; a faulty release loses one
     * server per hour.
     */
    @Test
    public void aConfirmedRequestIsTriedOnceAnHour() {
      CrashTable confirmed = after(crashed("a"), crashed("b"), trialStarted(1), warned("c"));
      assertEquals(confirmed.verdict(REQUEST, HOUR + SECOND), Verdict.TRIAL);
      CrashTable tried = confirmed.with(List.of(trialStarted(2)), HOUR + SECOND).table();
      assertEquals(tried.verdict(REQUEST, HOUR + SECOND + 1), Verdict.REFUSED);
    }
  }

  /** Reports may arrive late, repeatedly and in any order. */
  public static final class Order {
    @Test
    public void reportsInAnyOrderHaveTheSameResult() {
      List<CrashReport> reports =
          new ArrayList<>(
              List.of(
                  crashed("a"),
                  crashed("b"),
                  trialStarted(1),
                  warned("c"),
                  cleared("a"),
                  trialStarted(2)));
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

    /**
     * Guards against a crash that is counted again: a paused instance reports it long after it was
     * cleared.
     */
    @Test
    public void aLateReportOfAClearedCrashChangesNothing() {
      CrashTable table = after(cleared("a"));
      assertEquals(table.with(List.of(crashed("a"), crashed("a")), 0).newReports(), List.of());
    }

    @Test
    public void onlyNewReportsAreReturned() {
      CrashTable table = after(crashed("a"), trialStarted(1));
      List<CrashReport> reports = List.of(crashed("a"), crashed("b"), trialStarted(1));
      assertEquals(table.with(reports, 0).newReports(), List.of(crashed("b")));
    }

    /** A new listener that receives all reports has the same state. */
    @Test
    public void allReportsReproduceTheTable() {
      CrashTable table =
          after(crashed("a"), crashed("b"), trialStarted(1), warned("c"), cleared("a"));
      CrashTable copy = CrashTable.EMPTY.with(table.reports(), 0).table();
      assertEquals(copy.serversCrashedDuring(REQUEST), table.serversCrashedDuring(REQUEST));
      assertEquals(copy.suspicionLevel(REQUEST), table.suspicionLevel(REQUEST));
      assertTrue(copy.cleared(REQUEST, "a"));
    }
  }

  /** Limits on memory. */
  public static final class Bounds {
    private static RequestIdentity other(int number) {
      return new RequestIdentity(9, number);
    }

    /**
     * Guards against evicting a real cause. Thousands of different requests are sent to servers
     * that are about to crash; the request during which three servers crashed must be kept.
     */
    @Test
    public void manySingleCrashesDoNotEvictACause() {
      CrashTable table = after(crashed("a"), crashed("b"), trialStarted(1), warned("c"));
      for (int i = 0; i < 3 * CrashTable.MAX_CASES; i++) {
        List<CrashReport> single = List.of(new CrashReport.Crashed(other(i), "s" + i, false));
        table = table.with(single, i + 1).table();
      }
      assertEquals(table.suspicionLevel(REQUEST), SuspicionLevel.CONFIRMED);
      assertEquals(table.serversCrashedDuring(other(0)), Set.of());
      assertEquals(table.count(SuspicionLevel.UNSUSPECTED), CrashTable.MAX_CASES - 1);
    }

    @Test
    public void unchangedCasesExpire() {
      CrashTable single = after(crashed("a"));
      assertFalse(single.withoutExpired(TimeUnit.MINUTES.toNanos(9)).isEmpty());
      assertTrue(single.withoutExpired(TimeUnit.MINUTES.toNanos(11)).isEmpty());
      CrashTable confirmed = after(crashed("a"), crashed("b"), trialStarted(1), warned("c"));
      assertFalse(confirmed.withoutExpired(23 * HOUR).isEmpty());
      assertTrue(confirmed.withoutExpired(25 * HOUR).isEmpty());
    }

    /**
     * Repeated crashes and clearances must not grow the sets without bound, and the last report
     * applies.
     */
    @Test
    public void manyClearancesAreBounded() {
      CrashTable table = CrashTable.EMPTY;
      for (int i = 0; i < 100; i++) {
        table = table.with(List.of(crashed("s" + i), cleared("s" + i)), 0).table();
      }
      assertTrue(table.reports().size() <= 2);
      assertEquals(table.serversCrashedDuring(REQUEST), Set.of());
      assertTrue(table.cleared(REQUEST, "s99"));
    }
  }

  /** Each crash is attributed to one cause. */
  public static final class Causes {
    private static final RequestIdentity BYSTANDER = new RequestIdentity(3, 4);

    private static CrashReport.Crashed bystander(String server, boolean warned) {
      return new CrashReport.Crashed(BYSTANDER, server, warned);
    }

    /**
     * Guards against refusing a poller for an hour. It polls one path and has copies on three of
     * the servers that a crashing request brings down, and its trial goes to the third of them.
     * Once the crashing request is confirmed, its crashes no longer count against the poller.
     */
    @Test
    public void crashesOfAConfirmedRequestAreNotHeldAgainstOthers() {
      CrashTable table =
          after(
              crashed("a"),
              crashed("b"),
              crashed("c"),
              warned("d"),
              bystander("b", false),
              bystander("c", false),
              bystander("d", true));
      assertEquals(table.suspicionLevel(REQUEST), SuspicionLevel.CONFIRMED);
      assertEquals(table.suspicionLevel(BYSTANDER), SuspicionLevel.UNSUSPECTED);
      assertEquals(table.verdict(BYSTANDER, 0), Verdict.ALLOWED);
    }

    /**
     * All crashes came with one caller, whose request may differ from those of others in parts that
     * the identity does not include. Other callers with the same content are served; when a server
     * crashes with one of them too, the content is refused for all callers.
     */
    @Test
    public void oneCallerDoesNotCauseOthersToBeRefused() {
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

    /** Of two concurrent crashing requests, each has crashes that the other does not explain. */
    @Test
    public void twoCausesAreBothConfirmed() {
      CrashTable table =
          after(
              crashed("a"),
              crashed("b"),
              crashed("c"),
              warned("d"),
              bystander("c", false),
              bystander("x", false),
              bystander("y", false),
              bystander("z", true));
      assertEquals(table.suspicionLevel(REQUEST), SuspicionLevel.CONFIRMED);
      assertEquals(table.suspicionLevel(BYSTANDER), SuspicionLevel.CONFIRMED);
    }
  }

  /** Servers that are presumed to have crashed. */
  public static final class PresumedCrashes {
    /**
     * A server whose connections were reset and that refused one for a moment answers again. It did
     * not crash, and the presumed crash is removed from every request it was counted against.
     */
    @Test
    public void aServerThatAnswersHasNotCrashed() {
      CrashTable table = after(crashed("a"), crashed("b"));
      assertTrue(table.presumedCrashed("a"));
      CrashTable alive = table.with(table.clearancesForServer("a", SECOND), SECOND).table();
      assertEquals(alive.serversCrashedDuring(REQUEST), Set.of("b"));
    }

    /**
     * An answer to a request that was sent before the crash proves nothing about the server after
     * it.
     */
    @Test
    public void anAnswerToAnEarlierRequestClearsNothing() {
      CrashTable table = CrashTable.EMPTY.with(List.of(crashed("a")), SECOND).table();
      assertEquals(table.clearancesForServer("a", SECOND - 1), List.of());
    }
  }
}
