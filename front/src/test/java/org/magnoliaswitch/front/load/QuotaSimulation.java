package org.magnoliaswitch.front.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.magnoliaswitch.front.load.QuotaMessages.Demand;
import org.magnoliaswitch.front.load.QuotaMessages.Echoes;
import org.magnoliaswitch.front.load.QuotaMessages.News;
import org.magnoliaswitch.front.load.QuotaMessages.Result;
import org.magnoliaswitch.front.version.TeamTable;

/**
 * Instances, three of which are seeds, that divide quotas in virtual time. Connections are replaced
 * after silence, as those between instances are. Delays are those of the product.
 */
final class QuotaSimulation extends VirtualNetwork<QuotaSimulation.Node> {
  static final int SEEDS = 3;
  static final QuotaBounds BOUNDS = new QuotaBounds(millis(5_000), 0.1, 20);

  private static final long REPORT_AFTER = millis(50);
  private static final long ANSWER_AFTER = millis(15);
  private static final long REALLOCATE_AFTER = millis(100);
  private static final long HEARTBEAT = millis(400);
  private static final long PASS_ON_AFTER = millis(20);
  private static final long MAX_SILENCE = millis(300);
  private static final long EXPIRY = millis(2_000);
  private static final long CONNECTION_CHECK = millis(500);
  private static final long CONNECTION_SILENT = millis(1_600);
  private static final List<String> SEED_NAMES = List.of("seed-a", "seed-b", "seed-c");

  final List<Node> nodes = new ArrayList<>();
  private long lastListener;

  QuotaSimulation(int instances, TeamTable teams, long seed) {
    super(seed);
    for (int i = 0; i < instances; i++) {
      nodes.add(new Node(i, teams));
    }
    nodes.forEach(Node::start);
  }

  /** The connection of an instance to a seed, with what both sides keep for it. */
  private final class Link {
    private final long listener = ++lastListener;
    private final Node node;
    private final Seed seed;
    private final Map<String, QuotaAllowance> allowances = new HashMap<>();
    private final Echoes echoes = new Echoes();
    private final SeedContact contact = new SeedContact();
    private Set<String> closed = Set.of();
    private final TokenRequests requested = new TokenRequests();
    private long receivedAt = now();
    private long reportedAt;
    private long sequence;
    private long lastNews;
    private long newsNumber;
    private long echoed;
    private long lastToSeed;
    private long lastToNode;

    Link(Node node, Seed seed) {
      this.node = node;
      this.seed = seed;
    }

    boolean open() {
      return node.alive && node.links[seed.node.id] == this && seed.node.seed == seed;
    }

    boolean current() {
      return now() - echoes.validSince() < EXPIRY;
    }

    boolean asks() {
      return !requested.isEmpty() && current();
    }

    QuotaAllowance allowance(String team) {
      return allowances.computeIfAbsent(team, name -> new QuotaAllowance());
    }

    void received(News news) {
      receivedAt = now();
      contact.received(news.echoed(), now());
      lastNews = news.number();
      closed = news.closed();
      requested.update(news.requested(), news.echoed());
      news.allowances().forEach(a -> allowance(a.team()).update(a.counted(), a.granted()));
      echoes.echoed(news.echoed());
      boolean passesOn = node.seed != null && !requested.missing().isEmpty();
      if (news.echoed() == 0 || now() - reportedAt >= (passesOn ? PASS_ON_AFTER : MAX_SILENCE)) {
        report(demands());
      } else if (!requested.isEmpty()) {
        node.scheduleReports(REPORT_AFTER);
      }
    }

    List<Demand> demands() {
      List<Demand> demands = QuotaMessages.takeDemands(allowances);
      if (node.seed != null && node.seed != seed) {
        requested
            .missing()
            .forEach(
                (team, wanted) -> {
                  List<Integer> order = order(team);
                  if (order.indexOf(seed.node.id) < order.indexOf(node.id)) {
                    double tokens = node.seed.allocator.take(team, wanted, now());
                    if (tokens > 0) {
                      requested.passedOn(team, tokens, sequence + 1);
                      demands.add(new Demand(team, new QuotaAllowance.Usage(0, 0), tokens));
                    }
                  }
                });
      }
      return demands;
    }

    void report(List<Demand> demands) {
      reportedAt = now();
      echoes.sent(++sequence, now());
      if (!demands.isEmpty()) {
        contact.reported(sequence, now());
      }
      long number = sequence;
      long processed = lastNews;
      if (node == seed.node) {
        seed.reported(this, number, processed, demands);
      } else {
        lastToSeed =
            transmit(
                node,
                seed.node,
                lastToSeed,
                () -> {
                  if (seed.node.seed == seed && seed.links.containsKey(listener)) {
                    seed.reported(this, number, processed, demands);
                  }
                });
      }
    }

    void sendNews(News news) {
      if (node == seed.node) {
        received(news);
      } else {
        lastToNode =
            transmit(
                seed.node,
                node,
                lastToNode,
                () -> {
                  if (open()) {
                    received(news);
                  }
                });
      }
    }

    /** Closes the connection; the seed notices when it can. */
    void close() {
      node.links[seed.node.id] = null;
      lastToSeed = transmit(node, seed.node, lastToSeed, () -> seed.disconnected(this));
    }
  }

  private static List<Integer> order(String team) {
    return SeedOrder.of(team, SEED_NAMES);
  }

  /** One instance. */
  final class Node implements VirtualNetwork.Member {
    final int id;
    private final Link[] links = new Link[SEEDS];
    private TeamTable teams;
    private boolean alive;
    private long frozenUntil;
    private boolean reportsScheduled;
    private Seed seed;

    Node(int id, TeamTable teams) {
      this.id = id;
      this.teams = teams;
    }

    boolean isSeed() {
      return id < SEEDS;
    }

    /** Runs an action, after the end of a freeze if there is one. */
    @Override
    public void run(Runnable action) {
      if (now() < frozenUntil) {
        after(frozenUntil - now(), action);
      } else if (alive) {
        action.run();
      }
    }

    void start() {
      alive = true;
      reportsScheduled = false;
      if (isSeed()) {
        Seed started = new Seed(this);
        seed = started;
        started.allocator.configure(teams, now());
        links[id] = new Link(this, started);
        started.links.put(links[id].listener, links[id]);
        after(random.nextLong(HEARTBEAT), started::heartbeat);
      }
      after(random.nextLong(CONNECTION_CHECK), this::checkConnections);
    }

    void kill() {
      alive = false;
      seed = null;
      for (Link link : links) {
        if (link != null) {
          link.close();
        }
      }
    }

    void freeze(long duration) {
      frozenUntil = now() + duration;
    }

    void configure(TeamTable next) {
      teams = next;
      if (seed != null) {
        seed.allocator.configure(next, now());
        seed.scheduleAllocation(0);
      }
    }

    private void checkConnections() {
      if (!alive) {
        return;
      }
      for (int i = 0; i < SEEDS; i++) {
        Node other = nodes.get(i);
        Link link = links[i];
        if (other == this) {
          continue;
        }
        if (link != null && (!link.open() || now() - link.receivedAt > CONNECTION_SILENT)) {
          link.close();
        }
        if (links[i] == null && other.seed != null && !isCut(this, other) && !isCut(other, this)) {
          Link next = new Link(this, other.seed);
          links[i] = next;
          other.seed.links.put(next.listener, next);
        }
      }
      after(CONNECTION_CHECK, () -> run(this::checkConnections));
    }

    private void scheduleReports(long delay) {
      if (!reportsScheduled) {
        reportsScheduled = true;
        after(delay, () -> run(this::report));
      }
    }

    private void report() {
      reportsScheduled = false;
      for (Link link : links) {
        if (link != null) {
          List<Demand> demands = link.demands();
          if (!demands.isEmpty() || link.node == link.seed.node) {
            link.report(demands);
          }
        }
      }
      if (seed != null && Stream.of(links).anyMatch(link -> link != null && link.asks())) {
        scheduleReports(REALLOCATE_AFTER);
      }
    }

    /** Decides on a request as {@code TeamQuotas} does. */
    Result request(String team) {
      Optional<Link> home =
          order(team).stream()
              .map(i -> links[i])
              .filter(link -> link != null && link.current())
              .findFirst();
      if (home.isEmpty()) {
        return Result.UNKNOWN;
      }
      QuotaAllowance allowance = home.get().allowance(team);
      boolean closed = home.get().closed.contains(team);
      boolean answers = home.get().contact.answers(now());
      boolean admitted = allowance.tryAdmit(!closed && answers);
      scheduleReports(REPORT_AFTER);
      if (admitted) {
        return Result.ADMITTED;
      }
      return closed ? Result.CLOSED : answers ? Result.OPEN_USED_UP : Result.UNANSWERED;
    }
  }

  /** The part of a seed, as {@code QuotaSeed} plays it. */
  private final class Seed {
    private final Node node;
    private final QuotaAllocator allocator;
    private final Map<Long, Link> links = new HashMap<>();
    private final Set<Long> unanswered = new HashSet<>();
    private Set<String> closed = Set.of();
    private boolean allocationScheduled;

    Seed(Node node) {
      this.node = node;
      this.allocator =
          new QuotaAllocator(BOUNDS, SEED_NAMES, node.id, new Random(random.nextLong()));
    }

    void reported(Link link, long number, long processed, List<Demand> demands) {
      boolean first = link.echoed == 0;
      link.echoed = number;
      allocator.acknowledge(link.listener, processed);
      for (Demand demand : demands) {
        allocator.report(
            link.listener,
            demand.team(),
            demand.usage().admitted(),
            demand.usage().asked(),
            demand.tokens(),
            now());
      }
      if (first || !demands.isEmpty()) {
        unanswered.add(link.listener);
        scheduleAllocation(first ? 0 : ANSWER_AFTER);
      }
    }

    void disconnected(Link link) {
      if (links.remove(link.listener) != null) {
        unanswered.remove(link.listener);
        allocator.remove(link.listener, now());
      }
    }

    private void scheduleAllocation(long delay) {
      if (!allocationScheduled) {
        allocationScheduled = true;
        after(delay, () -> node.run(this::allocate));
      }
    }

    private void allocate() {
      if (node.seed != this) {
        return;
      }
      allocationScheduled = false;
      boolean unsatisfied = allocator.allocate(now());
      Set<Long> receivers = new HashSet<>(unanswered);
      unanswered.clear();
      Set<String> next = allocator.closedTeams();
      if (!next.equals(closed)) {
        closed = next;
        receivers.addAll(links.keySet());
      } else if (unsatisfied) {
        receivers.addAll(allocator.changedInstances());
      }
      receivers.forEach(this::answer);
      if (unsatisfied) {
        scheduleAllocation(REALLOCATE_AFTER);
      }
    }

    private void answer(long listener) {
      Link link = links.get(listener);
      if (link != null) {
        link.newsNumber++;
        link.sendNews(
            new News(
                link.newsNumber,
                link.echoed,
                closed,
                allocator.changes(listener, link.newsNumber),
                allocator.requestedTokens(now())));
      }
    }

    private void heartbeat() {
      if (node.seed == this) {
        List.copyOf(links.keySet()).forEach(this::answer);
        after(HEARTBEAT, () -> node.run(this::heartbeat));
      }
    }
  }
}
