package org.magnoliaswitch.core.version;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A valid, immutable configuration, which is replaced as a whole.
 *
 * @param version version number; 0 before the first version has been received
 * @param digest digest of the manifest of the version
 * @param profiles profiles by name
 * @param services services by name
 */
public record Snapshot(
    long version, String digest, Map<String, Profile> profiles, Map<String, Service> services) {
  /** The configuration of an instance before it has received any version. */
  public static final Snapshot EMPTY = new Snapshot(0, "", Map.of(), Map.of());

  public Snapshot {
    profiles = Map.copyOf(profiles);
    services = new LinkedHashMap<>(services);
  }

  /** Returns the service with the longest prefix that matches the path. */
  public Optional<Service> serviceOf(String path) {
    Optional<Service> longest = Optional.empty();
    for (Service service : services.values()) {
      if (matches(service.pathPrefix(), path)
          && longest.map(Service::pathPrefix).map(String::length).orElse(0)
              < service.pathPrefix().length()) {
        longest = Optional.of(service);
      }
    }
    return longest;
  }

  /** Returns the profile that applies to a service. */
  public Profile profileOf(Service service) {
    return profiles.get(service.profile());
  }

  /** Returns the backend servers of all services. */
  public Collection<BackendServer> servers() {
    return services.values().stream().flatMap(s -> s.servers().stream()).toList();
  }

  private static boolean matches(String prefix, String path) {
    return path.startsWith(prefix)
        && (path.length() == prefix.length()
            || path.charAt(prefix.length()) == '/'
            || path.charAt(prefix.length()) == '?');
  }
}
