package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.magnoliaswitch.front.testing.ManualClock;
import org.magnoliaswitch.front.testing.Servers;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.magnoliaswitch.front.version.Revision;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServerEntry;
import org.magnoliaswitch.front.version.ServerList;
import org.testng.annotations.Test;

/**
 * Tests which servers instances use that read the store and tell each other what they have read,
 * while some of them, or the store, cannot be reached.
 */
public final class ServerListExchangeTest {
  private static final int INSTANCES = 4;
  private static final int SEEDS = 3;
  private static final long TICK_MILLIS = 100;
  private static final long HEARTBEAT_MILLIS = 400;
  private static final long RETRY_MILLIS = 300;

  /** Time after the end of a disturbance until an instance must obey the store again. */
  private static final long RECOVERED_MILLIS = 3_000;

  /** Time within which a departed server must not receive requests any more. */
  private static final long DEPARTED_MILLIS = 2_000;

  private static final long PHASE_MILLIS = 5_000;

  /** Silence of a server after which the store removes its entry, less the time of one beat. */
  private static final long EXPIRY_MILLIS = 3_000;

  /** Time after the recovery of the store within which live servers are registered again. */
  private static final long REGISTRATION_MILLIS = 2_000;

  private static final List<InetSocketAddress> ADDRESSES = addresses();

  private static List<InetSocketAddress> addresses() {
    List<InetSocketAddress> all = new ArrayList<>();
    for (int i = 0; i < INSTANCES; i++) {
      all.add(new InetSocketAddress("127.0.0.1", i + 1));
    }
    return all;
  }

  /** What fails during a phase. */
  private enum Disturbance {
    NOTHING,
    FIRST_SEED_CUT,
    SECOND_SEED_CUT,
    ALL_SEEDS_CUT,
    LAST_CUT,
    FIRST_SEED_CANNOT_READ,
    SEEDS_CANNOT_READ,
    ONLY_FIRST_SEED_READS,
    FIRST_SEED_HEARS_NOTHING,
    FIRST_SEED_STOPPED,
    FIRST_SEED_RESTARTED,
    OTHERS_RESTARTED,
    STORE_DOWN
  }

  /** An instance and how it is disturbed. */
  private static final class Instance {
    private final int index;
    private final KnownState state;
    private final ServerListSync sync;
    private final PollingSchedule schedule;
    private final long startedMillis;
    private long nextReadMillis;
    private long disturbedMillis;
    private boolean readsStore = true;
    private boolean hears = true;
    private boolean isHeard = true;
    private boolean stopped;
    private Set<String> used = Set.of();
    private final Set<String> dropped = new HashSet<>();

    Instance(int index, Environment environment, long nowMillis) {
      this.index = index;
      this.state =
          new KnownState(
              new AtomicReference<>(RouteTable.EMPTY),
              environment.servers(),
              environment.loop(),
              environment.log());
      this.sync = new ServerListSync(state, environment);
      this.schedule =
          PollingSchedule.of(ADDRESSES.get(index), ADDRESSES.subList(0, SEEDS), false, 150);
      this.startedMillis = nowMillis;
      this.disturbedMillis = nowMillis;
    }

    boolean seed() {
      return index < SEEDS;
    }

    void connected(boolean connected) {
      readsStore = connected;
      hears = connected;
      isHeard = connected;
    }

    boolean disturbed() {
      return !readsStore || !hears || !isHeard || stopped;
    }
  }

  /** The store, its servers and the instances; advanced in ticks. */
  private static final class Deployment {
    private final ManualClock clock;
    private final Environment environment;
    private final List<Instance> instances = new ArrayList<>();
    private final Map<String, ServerEntry> listed = new HashMap<>();
    private final Set<String> live = new HashSet<>();
    private final Map<String, Long> departedMillis = new HashMap<>();
    private final List<String> problems = new ArrayList<>();
    private final long beginMillis;
    private long version = 1;
    private int servers;
    private boolean storeDown;
    private long storeDownMillis = Long.MIN_VALUE / 2;
    private long storeUpMillis = Long.MIN_VALUE / 2;

    Deployment(ManualClock clock, Environment environment) {
      this.clock = clock;
      this.environment = environment;
      this.beginMillis = now();
      for (int i = 0; i < 3; i++) {
        join();
      }
      for (int i = 0; i < INSTANCES; i++) {
        instances.add(new Instance(i, environment, now()));
      }
      run(RECOVERED_MILLIS);
    }

    private long now() {
      return TimeUnit.NANOSECONDS.toMillis(clock.read());
    }

    void join() {
      String id = "s" + servers++;
      live.add(id);
      register(id);
    }

    private void register(String id) {
      listed.put(id, Servers.entry(id, false));
      version++;
    }

    /** The oldest server leaves without an announcement, and another one joins, if all can. */
    void replaceOldest() {
      if (!listed.keySet().containsAll(live)) {
        return;
      }
      String oldest = live.stream().min((a, b) -> number(a) - number(b)).orElseThrow();
      live.remove(oldest);
      listed.remove(oldest);
      departedMillis.put(oldest, now());
      version++;
      join();
    }

    private static int number(String id) {
      return Integer.parseInt(id.substring(1));
    }

    void begin(Disturbance disturbance) {
      Instance first = instances.getFirst();
      switch (disturbance) {
        case NOTHING -> {}
        case FIRST_SEED_CUT -> first.connected(false);
        case SECOND_SEED_CUT -> instances.get(1).connected(false);
        case ALL_SEEDS_CUT -> instances.subList(0, SEEDS).forEach(seed -> seed.connected(false));
        case LAST_CUT -> instances.getLast().connected(false);
        case FIRST_SEED_CANNOT_READ -> first.readsStore = false;
        case SEEDS_CANNOT_READ ->
            instances.subList(0, SEEDS).forEach(seed -> seed.readsStore = false);
        case ONLY_FIRST_SEED_READS ->
            instances.subList(1, INSTANCES).forEach(other -> other.readsStore = false);
        case FIRST_SEED_HEARS_NOTHING -> {
          first.readsStore = false;
          first.hears = false;
        }
        case FIRST_SEED_STOPPED -> first.stopped = true;
        case FIRST_SEED_RESTARTED -> restart(0);
        case OTHERS_RESTARTED -> {
          first.connected(false);
          for (int i = 1; i < INSTANCES; i++) {
            restart(i);
          }
        }
        case STORE_DOWN -> {
          storeDown = true;
          storeDownMillis = now();
        }
      }
    }

    private void restart(int index) {
      instances.set(index, new Instance(index, environment, now()));
    }

    void end() {
      for (Instance instance : instances) {
        if (instance.disturbed()) {
          instance.connected(true);
          instance.stopped = false;
          instance.disturbedMillis = now();
        }
      }
      if (storeDown) {
        storeDown = false;
        storeUpMillis = now();
      }
    }

    void run(long millis) {
      for (long end = now() + millis; now() < end; ) {
        clock.advance(TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS));
        // Servers renew their entries all the time.
        version += storeDown ? 0 : 1;
        expireOrRegister();
        instances.forEach(this::step);
        instances.forEach(this::check);
      }
    }

    private void expireOrRegister() {
      if (storeDown && now() - storeDownMillis >= EXPIRY_MILLIS && !listed.isEmpty()) {
        listed.clear();
        version++;
      }
      if (!storeDown && now() - storeUpMillis >= REGISTRATION_MILLIS) {
        live.stream().filter(id -> !listed.containsKey(id)).forEach(this::register);
      }
    }

    private void step(Instance instance) {
      if (instance.stopped) {
        return;
      }
      boolean due =
          instance.schedule.untilRead(instance.sync.ageMillis(), now() - instance.startedMillis)
                  <= 0
              || instance.sync.untilRetentionEndsNanos().orElse(1) <= 0;
      boolean read = due && now() >= instance.nextReadMillis && read(instance);
      if (instance.seed() && (read || now() % HEARTBEAT_MILLIS == 0)) {
        publish(instance);
      }
    }

    private boolean read(Instance instance) {
      if (storeDown || !instance.readsStore) {
        instance.sync.readFailed(clock.read());
        instance.nextReadMillis = now() + RETRY_MILLIS;
        return false;
      }
      return instance.sync.read(new ServerList(Revision.of(0, version), listed), clock.read());
    }

    private void publish(Instance seed) {
      if (!seed.isHeard) {
        return;
      }
      long asOf = clock.read() - TimeUnit.MILLISECONDS.toNanos(seed.sync.ageMillis());
      for (Instance other : instances) {
        if (other != seed && other.hears && !other.stopped) {
          other.sync.received(seed.sync.published(), asOf);
        }
      }
    }

    private void check(Instance instance) {
      Set<String> before = instance.used;
      Set<String> now = instance.state.servers().servers().keySet();
      instance.used = now;
      for (String id : before) {
        if (!now.contains(id)) {
          instance.dropped.add(id);
          if (live.contains(id)) {
            problem(instance, id + " is dropped though it is live");
          }
        }
      }
      instance.dropped.removeAll(listed.keySet());
      for (String id : now) {
        if (instance.dropped.contains(id)) {
          problem(instance, id + " is used again after its departure was known");
        }
        if (recovered(instance) && departedFor(id) > DEPARTED_MILLIS) {
          problem(instance, id + " is used " + departedFor(id) + " ms after its departure");
        }
      }
    }

    private long departedFor(String id) {
      Long departed = departedMillis.get(id);
      return departed == null ? 0 : now() - departed;
    }

    private boolean recovered(Instance instance) {
      return !instance.disturbed()
          && now() - instance.disturbedMillis >= RECOVERED_MILLIS
          && !storeDown
          && now() - storeUpMillis >= RECOVERED_MILLIS;
    }

    private void problem(Instance instance, String text) {
      problems.add("instance " + instance.index + " at " + (now() - beginMillis) + " ms: " + text);
    }
  }

  private final ManualClock clock = new ManualClock();
  private final Environment environment =
      TestEnvironment.withoutConfiguration(clock.clocks(), TeamBounds.DEFAULT);

  /** Plays disturbances one after the other, with departures during each and after the last. */
  private List<String> play(List<Disturbance> disturbances, long pauseMillis) {
    Deployment deployment = new Deployment(clock, environment);
    for (Disturbance disturbance : disturbances) {
      deployment.begin(disturbance);
      deployment.run(1_500);
      deployment.replaceOldest();
      deployment.run(PHASE_MILLIS - 1_900);
      deployment.replaceOldest();
      deployment.run(400);
      deployment.end();
      deployment.run(pauseMillis);
    }
    deployment.run(1_000);
    deployment.replaceOldest();
    deployment.run(2 * RECOVERED_MILLIS);
    return deployment.problems;
  }

  /**
   * Guards against requests to departed servers that an instance returning from a cut still has.
   */
  @Test
  public void departuresDuringCutOfOneInstanceStayKnownToTheOthers() {
    assertEquals(play(List.of(Disturbance.FIRST_SEED_CUT), 0).toString(), "[]");
  }

  /** Guards against an outage of the store after which live servers are no longer used. */
  @Test
  public void entriesThatExpiredDuringOutageAreRetained() {
    assertEquals(play(List.of(Disturbance.STORE_DOWN), 0).toString(), "[]");
  }

  /** Guards against the same faults after any two disturbances, at once or one after the other. */
  @Test
  public void departedServersAreDroppedAndLiveOnesKeptAfterAnyTwoDisturbances() {
    Map<String, String> failed = new HashMap<>();
    for (Disturbance first : Disturbance.values()) {
      for (Disturbance second : Disturbance.values()) {
        for (long pause : new long[] {0, 1_000}) {
          List<String> problems = play(List.of(first, second), pause);
          if (!problems.isEmpty()) {
            failed.put(first + ", " + second + ", pause " + pause, problems.getFirst());
          }
        }
      }
    }
    assertEquals(failed.toString(), Map.of().toString());
  }
}
