package org.magnoliaswitch.front.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.front.load.QuotaAllocator;
import org.magnoliaswitch.front.load.QuotaAllowance;
import org.magnoliaswitch.front.load.SeedContact;
import org.magnoliaswitch.front.load.TokenRequests;
import org.magnoliaswitch.front.peer.TeamNews;
import org.magnoliaswitch.front.peer.TeamReport;
import org.magnoliaswitch.front.process.ConfigurationConfirmation.Moment;

/**
 * What this instance knows from one seed about teams, on one connection. Allowances are read by the
 * thread of the requests; everything else runs on the control loop.
 */
final class SeedLink {
  /**
   * Time after which nothing that the seed has told may be used any more, counted from when this
   * instance sent the report that the seed had received. It is longer than a missed heartbeat, and
   * short enough that an instance which was cut off or frozen stops in time.
   */
  private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(2);

  /**
   * Reports without an echo that are remembered; a seed that answers echoes each within a second.
   */
  private static final int MAX_SENT = 64;

  private final Map<String, QuotaAllowance> allowances = new ConcurrentHashMap<>();
  private final Deque<SentReport> sent = new ArrayDeque<>();
  private final SeedContact contact = new SeedContact();
  private volatile TeamNews.States states = TeamNews.States.NONE;
  private volatile @Nullable Moment validSince;
  private final TokenRequests tokenRequests = new TokenRequests();
  private long lastSequence;
  private long lastNews;

  /** A report that the seed has not echoed yet. */
  private record SentReport(long sequence, Moment at) {}

  /** Whether what the seed has told may be used. */
  boolean fresh(Moment now) {
    Moment since = validSince;
    return since != null && since.nanosUntil(now) < EXPIRY_NANOS;
  }

  /** Returns the time since the seed's last message was valid for certain; -1 if there is none. */
  long ageMillis(Moment now) {
    Moment since = validSince;
    return since == null ? -1 : TimeUnit.NANOSECONDS.toMillis(since.nanosUntil(now));
  }

  /** Returns the allowance for a team. */
  QuotaAllowance allowance(String team) {
    return allowances.computeIfAbsent(team, name -> new QuotaAllowance());
  }

  /** Returns whether requests of a team may be admitted without an allowance: if it is open. */
  Admission.QuotaState state(String team, Moment now) {
    if (states.closed().contains(team)) {
      return Admission.QuotaState.CLOSED;
    }
    return contact.answers(now.nanos())
        ? Admission.QuotaState.OPEN
        : Admission.QuotaState.UNANSWERED;
  }

  TeamNews.States states() {
    return states;
  }

  /**
   * Applies a message of the seed.
   *
   * @return when this instance sent the report that the message echoes; the message was written
   *     after that. Empty if it echoes none
   */
  Optional<Moment> received(TeamNews news, Moment now) {
    contact.received(news.echoed(), now.nanos());
    lastNews = news.number();
    news.states().ifPresent(changed -> states = changed);
    tokenRequests.update(news.requestedTokens(), news.echoed());
    for (QuotaAllocator.Allowance allowance : news.allowances()) {
      allowance(allowance.team()).update(allowance.counted(), allowance.granted());
    }
    while (!sent.isEmpty() && sent.getFirst().sequence() < news.echoed()) {
      sent.removeFirst();
    }
    if (sent.isEmpty() || sent.getFirst().sequence() != news.echoed()) {
      return Optional.empty();
    }
    Moment at = sent.getFirst().at();
    validSince = at;
    return Optional.of(at);
  }

  /** Returns the tokens that this instance, as another seed, should still pass on, by team. */
  Map<String, Double> missingTokens(Moment now) {
    return fresh(now) ? tokenRequests.missing() : Map.of();
  }

  /** Whether the seed asks for tokens, on their way or not. */
  boolean requestsTokens(Moment now) {
    return fresh(now) && !tokenRequests.isEmpty();
  }

  /** Records tokens that the next report passes on. */
  void passedOn(String team, double tokens) {
    tokenRequests.passedOn(team, tokens, lastSequence + 1);
  }

  /** Returns the requests by team that have not been reported yet. */
  List<TeamReport.Demand> takeDemands() {
    List<TeamReport.Demand> demands = new ArrayList<>();
    allowances.forEach(
        (team, allowance) -> {
          QuotaAllowance.Usage usage = allowance.takeUsage();
          if (!usage.isEmpty()) {
            demands.add(new TeamReport.Demand(team, usage.admitted(), usage.asked(), 0));
          }
        });
    return demands;
  }

  /** Creates the next report. */
  TeamReport report(List<TeamReport.Demand> demands, Moment now) {
    lastSequence++;
    sent.addLast(new SentReport(lastSequence, now));
    if (sent.size() > MAX_SENT) {
      sent.removeFirst();
    }
    if (!demands.isEmpty()) {
      contact.reported(lastSequence, now.nanos());
    }
    return new TeamReport(lastSequence, lastNews, demands);
  }
}
