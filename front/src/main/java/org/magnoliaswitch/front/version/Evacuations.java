package org.magnoliaswitch.front.version;

import java.util.Set;

/**
 * Data centres whose servers receive no new requests until an operator reinstates them.
 *
 * @param version increases with each change in the source; 0 while nothing has been read
 * @param dataCentres names of the evacuated data centres
 */
public record Evacuations(long version, Set<String> dataCentres) {
  /** Evacuations before any have been read. */
  public static final Evacuations UNKNOWN = new Evacuations(0, Set.of());

  public Evacuations {
    dataCentres = Set.copyOf(dataCentres);
  }

  /** Whether the evacuated data centres have been read, even if there are none. */
  public boolean known() {
    return version > 0;
  }
}
