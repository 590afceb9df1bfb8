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
 * Settings of one entry process, read once when it starts.
 *
 * @param instance name of this instance
 * @param dataCentre data centre that the instance runs in
 * @param host IP address that the three listeners bind to
 * @param callerPort port of the listener for callers
 * @param operatorPort port of the listener for operators
 * @param peerPort port of the listener for peers
 * @param seeds addresses ({@code host:port}) of the peers to contact first
 * @param platform base URL of the platform's services
 * @param platformTimeoutMillis timeout of each call to the platform
 * @param tokenFile file with the bearer token of operators
 * @param secretFile file with the secret that all instances share
 * @param callersBalancerResends whether the load balancer between callers and entries may resend a
 *     request on its own
 * @param stopUnreadyMillis time between failing the readiness check and closing the listener for
 *     callers during a graceful stop
 * @param stopLimitMillis maximum time that a graceful stop waits for requests in flight
 * @param tls TLS settings of the listener for callers, or absent for plain HTTP
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
  private static final String NAME_PATTERN = "[a-z][a-z0-9-]{0,62}";
  private static final String IP_PATTERN = "[0-9.]{7,15}|[0-9a-fA-F:]{2,45}";
  private static final String ADDRESS_PATTERN =
      "([0-9.]{7,15}|\\[[0-9a-fA-F:]{2,45}\\]):[0-9]{1,5}";
  private static final int MAX_PORT = 65_535;
  private static final int MAX_STOP_MILLIS = 600_000;

  /**
   * TLS settings of the listener for callers.
   *
   * @param keyStore path of the PKCS #12 key store
   * @param passwordFile file with the password of the key store
   */
  public record Tls(String keyStore, String passwordFile) {}

  public EntrySettings {
    seeds = List.copyOf(seeds);
  }

  /**
   * Parses and validates settings.
   *
   * @param file name of the settings file, for messages
   * @param content JSON document
   */
  public static EntrySettings parse(String file, byte[] content)
      throws InvalidDeclarationException {
    List<Problem> problems = new ArrayList<>();
    Optional<EntrySettings> settings =
        SnapshotParser.readDocument(file, content, EntrySettings.class, problems);
    settings.ifPresent(parsed -> problems.addAll(parsed.validate(file)));
    if (!problems.isEmpty() || settings.isEmpty()) {
      throw new InvalidDeclarationException(problems);
    }
    return settings.get();
  }

  /** Returns the seeds as addresses. */
  public List<Address> seedAddresses() {
    return seeds.stream().map(EntrySettings::parseAddress).toList();
  }

  private List<Problem> validate(String file) {
    Validator validator = new Validator(file);
    validator.requireMatch("instance", instance, NAME_PATTERN);
    validator.requireMatch("dataCentre", dataCentre, NAME_PATTERN);
    validator.requireMatch("host", host, IP_PATTERN);
    validator.requireRange("callerPort", callerPort, 1, MAX_PORT);
    validator.requireRange("operatorPort", operatorPort, 1, MAX_PORT);
    validator.requireRange("peerPort", peerPort, 1, MAX_PORT);
    validator.require(
        callerPort != operatorPort && operatorPort != peerPort && callerPort != peerPort,
        "callerPort, operatorPort, peerPort",
        "the same port for two listeners",
        "three different ports");
    for (int i = 0; i < seeds.size(); i++) {
      validator.requireMatch("seeds[" + i + "]", seeds.get(i), ADDRESS_PATTERN);
    }
    validator.requireMatch("platform", platform, "https?://.+");
    validator.requireRange("platformTimeoutMillis", platformTimeoutMillis, 10, 60_000);
    validator.requireRange("stopUnreadyMillis", stopUnreadyMillis, 0, MAX_STOP_MILLIS);
    validator.requireRange("stopLimitMillis", stopLimitMillis, 100, MAX_STOP_MILLIS);
    return validator.problems();
  }

  private static Address parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
