package org.magnoliaswitch.front.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.load.QuotaAllocator;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.peer.ListenerTeams;
import org.magnoliaswitch.front.peer.TeamNews;
import org.magnoliaswitch.front.peer.TeamReport;
import org.magnoliaswitch.front.version.TeamTable;

/**
 * The part of a seed in the quotas of teams: it counts what the instances report, allocates the
 * tokens, and answers each instance with what has changed for it. Runs on the control loop.
 */
final class QuotaSeed implements ListenerTeams {
  /**
   * Time in which reports are collected before they are answered. With it, a burst of reports costs
   * one allocation.
   */
  private static final long COLLECT_MILLIS = 15;

  /** Interval at which tokens are allocated while instances have got less than they asked for. */
  private static final long REALLOCATE_MILLIS = 100;

  /** Sends messages to some listeners. */
  private final Consumer<Set<Long>> sender;

  private final QuotaAllocator allocator;
  private final ConfigurationConfirmation confirmation;
  private final Clocks clocks;
  private final Loop loop;
  private final Map<Long, Conversation> conversations = new HashMap<>();
  private final Set<Long> unanswered = new HashSet<>();
  private TeamTable teams = TeamTable.EMPTY;
  private TeamNews.States states = TeamNews.States.NONE;
  private Optional<TeamMetrics> teamMetrics = Optional.empty();
  private Loop.Timer nextAllocation = () -> {};
  private long nextAllocationNanos = Long.MAX_VALUE;

  /** The messages exchanged with one listener. */
  private static final class Conversation {
    private long lastNumber;
    private long lastSequence;
    private TeamNews.States sentStates = TeamNews.States.NONE;
  }

  QuotaSeed(
      TeamBounds bounds,
      List<String> seeds,
      int ownPosition,
      ConfigurationConfirmation confirmation,
      Clocks clocks,
      Loop loop,
      RandomGenerator random,
      Consumer<Set<Long>> sender) {
    this.allocator = new QuotaAllocator(bounds.quota(), seeds, ownPosition, random);
    this.confirmation = confirmation;
    this.clocks = clocks;
    this.loop = loop;
    this.sender = sender;
  }

  /** Sets what logs changes in the states of teams. */
  void logStates(TeamMetrics metrics) {
    teamMetrics = Optional.of(metrics);
  }

  /** Applies the teams of the configuration in force. */
  void configure(TeamTable next) {
    if (next != teams) {
      teams = next;
      allocator.configure(next, clocks.nanos());
      // A message sent before the allocation would call all teams open.
      nextAllocation.cancel();
      allocate();
    }
  }

  @Override
  public Optional<TeamNews> nextNews(long listener) {
    if (teams.isEmpty()) {
      return Optional.empty();
    }
    Conversation conversation = conversations.computeIfAbsent(listener, id -> new Conversation());
    conversation.lastNumber++;
    boolean changed = !states.equals(conversation.sentStates);
    conversation.sentStates = states;
    return Optional.of(
        new TeamNews(
            conversation.lastNumber,
            conversation.lastSequence,
            TimeUnit.NANOSECONDS.toMillis(confirmation.ageNanos()) + 1,
            changed ? Optional.of(states) : Optional.empty(),
            allocator.changes(listener, conversation.lastNumber),
            allocator.requestedTokens(clocks.nanos())));
  }

  @Override
  public void reported(long listener, TeamReport report) {
    Conversation conversation = conversations.computeIfAbsent(listener, id -> new Conversation());
    boolean first = conversation.lastSequence == 0;
    conversation.lastSequence = report.sequence();
    allocator.acknowledge(listener, report.lastNews());
    for (TeamReport.Demand demand : report.demands()) {
      allocator.report(
          listener,
          demand.team(),
          demand.admitted(),
          demand.asked(),
          demand.tokens(),
          clocks.nanos());
    }
    // A listener may not use anything before its first report is answered.
    if (first || !report.demands().isEmpty()) {
      unanswered.add(listener);
      scheduleAllocation(first ? 0 : COLLECT_MILLIS);
    }
  }

  @Override
  public void disconnected(long listener) {
    conversations.remove(listener);
    unanswered.remove(listener);
    allocator.remove(listener, clocks.nanos());
  }

  /** Takes tokens of a team out of the own bucket, for the seed that is responsible for it. */
  double take(String team, double wanted) {
    return allocator.take(team, wanted, clocks.nanos());
  }

  /** Schedules an allocation unless an earlier one is scheduled. */
  private void scheduleAllocation(long delayMillis) {
    long due = clocks.nanos() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
    if (due < nextAllocationNanos) {
      nextAllocation.cancel();
      nextAllocationNanos = due;
      nextAllocation = loop.afterMillis(delayMillis, this::allocate);
    }
  }

  private void allocate() {
    nextAllocationNanos = Long.MAX_VALUE;
    boolean unsatisfied = allocator.allocate(clocks.nanos());
    TeamNews.States next =
        new TeamNews.States(allocator.closedTeams(), allocator.teamsOverDemand());
    Set<Long> receivers = new HashSet<>(unanswered);
    unanswered.clear();
    if (!next.equals(states)) {
      states = next;
      teamMetrics.ifPresent(metrics -> metrics.changed(next, allocator));
      receivers.addAll(conversations.keySet());
    } else if (unsatisfied) {
      receivers.addAll(allocator.changedInstances());
    }
    if (!receivers.isEmpty()) {
      sender.accept(receivers);
    }
    if (unsatisfied) {
      scheduleAllocation(REALLOCATE_MILLIS);
    }
  }
}
