package org.magnoliaswitch.core.version;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A checked configuration, immutable and swapped as a whole.
 *
 * @param version its number; 0 stands for none yet
 * @param digest digest of its manifest
 * @param profiles profiles by name
 * @param services services by name
 */
public record Snapshot(
    long version, String digest, Map<String, Profile> profiles, Map<String, Service> services) {
  /** What an instance holds before it has received any version. */
  public static final Snapshot EMPTY = new Snapshot(0, "", Map.of(), Map.of());

  public Snapshot {
    profiles = Map.copyOf(profiles);
    services = new LinkedHashMap<>(services);
  }

  /** The service whose prefix covers a path; the longest prefix counts. */
  public Optional<Service> serviceOf(String path) {
    Optional<Service> best = Optional.empty();
    for (Service service : services.values()) {
      if (covers(service.pathPrefix(), path)
          && best.map(Service::pathPrefix).map(String::length).orElse(0)
              < service.pathPrefix().length()) {
        best = Optional.of(service);
      }
    }
    return best;
  }

  /** The profile a service picked. */
  public Profile profileOf(Service service) {
    return profiles.get(service.profile());
  }

  /** All backend servers of all services. */
  public Collection<BackendServer> servers() {
    return services.values().stream().flatMap(s -> s.servers().stream()).toList();
  }

  private static boolean covers(String prefix, String path) {
    return path.startsWith(prefix)
        && (path.length() == prefix.length()
            || path.charAt(prefix.length()) == '/'
            || path.charAt(prefix.length()) == '?');
  }
}
