package org.magnoliaswitch.core.process;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.core.peer.Address;
import org.magnoliaswitch.core.peer.CrashReportCodec;
import org.magnoliaswitch.core.peer.PeerClient;
import org.magnoliaswitch.core.peer.PeerMessage;

/**
 * Spreads reports of requests during which servers crash. New reports are pushed to a few peers at
 * once, which push on those that were new to them; periodically, all reports are exchanged with a
 * few peers. Nothing is sent while there are no reports.
 */
final class CrashGossip {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int CALL_TIMEOUT_MILLIS = 1_000;
  private static final PeerMessage.Crashes NO_REPORTS =
      new PeerMessage.Crashes(CrashReportCodec.encode(List.of()));

  private final CrashWatch crashes;
  private final Gossip gossip;
  private final PeerClient client;
  private final Timeline timeline;
  private final Executor executor;

  CrashGossip(
      CrashWatch crashes, Gossip gossip, PeerClient client, Timeline timeline, Executor executor) {
    this.crashes = crashes;
    this.gossip = gossip;
    this.client = client;
    this.timeline = timeline;
    this.executor = executor;
    crashes.addListener(this::publish);
  }

  /** Receives a peer's reports and returns those of this instance. */
  PeerMessage answer(PeerMessage.Crashes received) {
    try {
      crashes.receive(CrashReportCodec.decode(received.reports()), CrashWatch.Source.PEER);
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("event=crash_reports_malformed");
      return new PeerMessage.Unsupported("malformed reports");
    }
    return crashes.isEmpty() ? NO_REPORTS : all();
  }

  /**
   * Exchanges all reports with a few peers, which repairs what pushes have missed; called
   * periodically.
   */
  void repair() {
    if (!crashes.isEmpty()) {
      gossip.pushTargets().forEach(peer -> send(peer, all()));
    }
  }

  private PeerMessage.Crashes all() {
    return new PeerMessage.Crashes(CrashReportCodec.encode(crashes.table().reports()));
  }

  private void publish(CrashWatch.Update update) {
    update.changes().forEach(change -> recordChange(change, update.source()));
    push(update.newReports());
  }

  private void recordChange(CrashWatch.Change change, CrashWatch.Source source) {
    timeline.record(
        EventKind.CRASH_STANDING,
        "identity=%s standing=%s ends=%d source=%s"
            .formatted(
                change.request(),
                change.level().name().toLowerCase(Locale.ROOT),
                change.crashedServers().size(),
                source.name().toLowerCase(Locale.ROOT)));
  }

  private void push(List<CrashReport> newReports) {
    PeerMessage.Crashes message = new PeerMessage.Crashes(CrashReportCodec.encode(newReports));
    try {
      gossip.pushTargets().forEach(peer -> executor.execute(() -> send(peer, message)));
    } catch (RejectedExecutionException e) {
      logger.atFine().log("event=crash_gossip_stopped");
    }
  }

  private void send(Address peer, PeerMessage.Crashes message) {
    try {
      PeerMessage reply = client.call(peer, message, CALL_TIMEOUT_MILLIS);
      if (reply instanceof PeerMessage.Crashes peerReports) {
        crashes.receive(CrashReportCodec.decode(peerReports.reports()), CrashWatch.Source.PEER);
      }
    } catch (IOException e) {
      logger.atFine().log("event=crash_gossip_failed peer=%s cause=%s", peer, e);
    }
  }
}
