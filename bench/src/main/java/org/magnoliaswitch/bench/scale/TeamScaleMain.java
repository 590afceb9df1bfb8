package org.magnoliaswitch.bench.scale;

import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.version.ApiKey;
import org.magnoliaswitch.front.version.CallerLimits;
import org.magnoliaswitch.front.version.Quota;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.Team;
import org.magnoliaswitch.front.version.TeamTable;

/**
 * Measures the time to find the team of a key at 10,000 teams of three keys, and the memory of a
 * configuration with 1,000 teams.
 */
public final class TeamScaleMain {
  private static final String SCHEME = "Token ";
  private static final int KEYS_PER_TEAM = 3;
  private static final int KEY_BYTES = 16;
  private static final int LOOKUP_TEAMS = 10_000;
  private static final int MEMORY_TEAMS = 1_000;
  private static final int ROUNDS = 21;
  private static final int LOOKUPS = 100_000;

  /** One request in so many carries a key that no team has. */
  private static final int UNKNOWN_EACH = 10;

  private static final double NANOS_PER_MICRO = 1e3;
  private static final double MEGABYTE = 1e6;

  private TeamScaleMain() {}

  /** Prints the figures of both measurements in one line. */
  public static void main(String[] arguments) {
    double[] lookups = lookupMicros();
    System.out.printf(
        Locale.ROOT,
        "teams: lookup %.3f us (median of %d rounds; slowest round %.3f us) at %d teams,"
            + " configuration %.2f MB at %d teams%n",
        lookups[ROUNDS / 2],
        ROUNDS,
        lookups[ROUNDS - 1],
        LOOKUP_TEAMS,
        configurationBytes() / MEGABYTE,
        MEMORY_TEAMS);
  }

  /** Returns the mean time of a lookup in each round, in ascending order. */
  private static double[] lookupMicros() {
    Random random = new Random(1);
    List<String> keys = new ArrayList<>();
    TeamTable teams = new TeamTable(teams(LOOKUP_TEAMS, random, keys));
    String[] headers = new String[LOOKUPS];
    for (int i = 0; i < LOOKUPS; i++) {
      boolean unknown = i % UNKNOWN_EACH == 0;
      headers[i] = SCHEME + (unknown ? key(random) : keys.get(random.nextInt(keys.size())));
    }
    Clocks clocks = Clocks.system();
    double[] micros = new double[ROUNDS];
    for (int round = 0; round < ROUNDS; round++) {
      int found = 0;
      long start = clocks.nanos();
      for (String header : headers) {
        // As on the request path, the key is a new string whose hash is not known yet.
        if (teams.find(header.substring(SCHEME.length()).strip()) != null) {
          found++;
        }
      }
      micros[round] = (clocks.nanos() - start) / NANOS_PER_MICRO / LOOKUPS;
      if (found != LOOKUPS - LOOKUPS / UNKNOWN_EACH) {
        throw new IllegalStateException("found " + found + " keys");
      }
    }
    Arrays.sort(micros);
    return micros;
  }

  private static long configurationBytes() {
    long before = usedBytes();
    RouteTable table =
        new RouteTable(
            1,
            List.of(),
            List.of(),
            CallerLimits.DEFAULT,
            new TeamTable(teams(MEMORY_TEAMS, new Random(2), new ArrayList<>())));
    try {
      return usedBytes() - before;
    } finally {
      Reference.reachabilityFence(table);
    }
  }

  private static long usedBytes() {
    Runtime runtime = Runtime.getRuntime();
    long least = Long.MAX_VALUE;
    for (int i = 0; i < 5; i++) {
      System.gc();
      least = Math.min(least, runtime.totalMemory() - runtime.freeMemory());
    }
    return least;
  }

  private static List<Team> teams(int count, Random random, List<String> keys) {
    List<Team> teams = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      List<ApiKey> own = new ArrayList<>();
      for (int k = 0; k < KEYS_PER_TEAM; k++) {
        String key = key(random);
        keys.add(key);
        own.add(new ApiKey(key));
      }
      teams.add(new Team("team-" + i, Set.copyOf(own), new Quota(100, 100), 0));
    }
    return teams;
  }

  private static String key(Random random) {
    StringBuilder key = new StringBuilder();
    for (int i = 0; i < KEY_BYTES; i++) {
      key.append(String.format(Locale.ROOT, "%02x", random.nextInt(256)));
    }
    return key.toString();
  }
}
