package org.magnoliaswitch.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliaswitch.core.peer.Address;
import org.magnoliaswitch.core.version.InvalidDeclarationException;
import org.magnoliaswitch.core.version.Problem;
import org.magnoliaswitch.core.version.SnapshotParser;
import org.magnoliaswitch.core.version.Validator;

/**
 * Settings of one entry process, read once at its start.
 *
 * @param instance name of this instance
 * @param dataCentre where it runs
 * @param host IP number of the three listeners
 * @param callerPort port for callers
 * @param operatorPort port for operators
 * @param peerPort port for peers
 * @param seeds {@code host:port} of peers to meet first
 * @param platform base URL of the platform's services
 * @param platformTimeoutMillis time given to each call of the platform
 * @param tokenFile file with the operators' bearer token
 * @param secretFile file with the secret shared by all instances
 * @param callersBalancerResends whether the balancer in front may send a request twice by itself
 * @param stopUnreadyMillis time between becoming unready and refusing connections on a stop
 * @param stopLimitMillis longest time given to requests in flight on a stop
 * @param tls TLS towards callers, or absent for plain HTTP
 */
public record EntrySettings(
    String instance,
    String dataCentre,
    String host,
    int callerPort,
    int operatorPort,
    int peerPort,
    List<String> seeds,
    String platform,
    int platformTimeoutMillis,
    String tokenFile,
    String secretFile,
    boolean callersBalancerResends,
    int stopUnreadyMillis,
    int stopLimitMillis,
    Optional<Tls> tls) {
  private static final String NAME = "[a-z][a-z0-9-]{0,62}";
  private static final String IP = "[0-9.]{7,15}|[0-9a-fA-F:]{2,45}";
  private static final String HOST_PORT = "([0-9.]{7,15}|\\[[0-9a-fA-F:]{2,45}\\]):[0-9]{1,5}";
  private static final int MAX_PORT = 65_535;
  private static final int MAX_STOP_MILLIS = 600_000;

  /**
   * TLS towards callers.
   *
   * @param keyStore PKCS #12 file
   * @param passwordFile file with its password
   */
  public record Tls(String keyStore, String passwordFile) {}

  public EntrySettings {
    seeds = List.copyOf(seeds);
  }

  /** Reads and checks settings. */
  public static EntrySettings parse(String file, byte[] content)
      throws InvalidDeclarationException {
    List<Problem> problems = new ArrayList<>();
    Optional<EntrySettings> settings =
        SnapshotParser.readDocument(file, content, EntrySettings.class, problems);
    settings.ifPresent(read -> problems.addAll(read.check(file)));
    if (!problems.isEmpty() || settings.isEmpty()) {
      throw new InvalidDeclarationException(problems);
    }
    return settings.get();
  }

  /** The seeds as addresses. */
  public List<Address> seedAddresses() {
    return seeds.stream().map(EntrySettings::address).toList();
  }

  private List<Problem> check(String file) {
    Validator validator = new Validator(file);
    validator.requireMatch("instance", instance, NAME);
    validator.requireMatch("dataCentre", dataCentre, NAME);
    validator.requireMatch("host", host, IP);
    validator.requireRange("callerPort", callerPort, 1, MAX_PORT);
    validator.requireRange("operatorPort", operatorPort, 1, MAX_PORT);
    validator.requireRange("peerPort", peerPort, 1, MAX_PORT);
    validator.require(
        callerPort != operatorPort && operatorPort != peerPort && callerPort != peerPort,
        "callerPort, operatorPort, peerPort",
        "a port used twice",
        "three different ports");
    for (int i = 0; i < seeds.size(); i++) {
      validator.requireMatch("seeds[" + i + "]", seeds.get(i), HOST_PORT);
    }
    validator.requireMatch("platform", platform, "https?://.+");
    validator.requireRange("platformTimeoutMillis", platformTimeoutMillis, 10, 60_000);
    validator.requireRange("stopUnreadyMillis", stopUnreadyMillis, 0, MAX_STOP_MILLIS);
    validator.requireRange("stopLimitMillis", stopLimitMillis, 100, MAX_STOP_MILLIS);
    return validator.problems();
  }

  private static Address address(String text) {
    int colon = text.lastIndexOf(':');
    return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
