package org.magnoliaswitch.bench.model;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.magnoliaswitch.front.load.Mechanism;

/**
 * A policy with its parameters that replays compare with others. The option {@code --way} selects
 * it by name.
 */
sealed interface PolicyVariant {
  /** The name in options and reports. */
  String name();

  /** A policy that uses only the requests of its own instance. */
  record Simple(String name, SimplePolicy.Rule rule) implements PolicyVariant {}

  /** The decisions of the front. */
  record Front(String name, Rules rules) implements PolicyVariant {
    /** Returns this variant with one mechanism disabled. */
    Front without(Mechanism mechanism) {
      String suffix = "_without_" + mechanism.name().toLowerCase(Locale.ROOT);
      return new Front(name + suffix, rules.without(mechanism));
    }
  }

  /** One queue with knowledge of the current state of all servers. */
  record Ideal(String name) implements PolicyVariant {}

  PolicyVariant ROUND_ROBIN = new Simple("round_robin", SimplePolicy.Rule.TURN);
  PolicyVariant LEAST_REQUESTS = new Simple("least_requests", SimplePolicy.Rule.LEAST_REQUESTS);
  PolicyVariant UNBOUNDED = new Front("unbounded", Rules.UNBOUNDED);
  PolicyVariant SHORT_WAIT = new Front("short_wait", Rules.SHORT_WAIT);
  Front SIXTEEN_SERVERS = new Front("sixteen_servers", Rules.SIXTEEN_SERVERS);
  PolicyVariant CURRENT = new Front("current", Rules.CURRENT);
  PolicyVariant IDEAL = new Ideal("ideal");

  /** Returns the current decisions with one mechanism disabled. */
  static Front without(Mechanism mechanism) {
    return new Front(
        "without_" + mechanism.name().toLowerCase(Locale.ROOT), Rules.CURRENT.without(mechanism));
  }

  /** Returns the variants that are compared by default. */
  static List<PolicyVariant> defaults() {
    return List.of(
        ROUND_ROBIN, LEAST_REQUESTS, UNBOUNDED, SHORT_WAIT, SIXTEEN_SERVERS, CURRENT, IDEAL);
  }

  /** Returns all variants, including one without each mechanism. */
  static List<PolicyVariant> all() {
    Stream<PolicyVariant> ablations = Arrays.stream(Mechanism.values()).map(PolicyVariant::without);
    return Stream.concat(defaults().stream(), ablations).toList();
  }
}
