package org.magnoliaswitch.front.version;

import java.util.Set;

/**
 * Data centres whose servers get no new requests until an operator takes them back.
 *
 * @param version rises with each change in the source; 0 while nothing has been read
 * @param dataCentres names of the evacuated data centres
 */
public record Evacuations(long version, Set<String> dataCentres) {
  /** Before anything is known. */
  public static final Evacuations UNKNOWN = new Evacuations(0, Set.of());

  public Evacuations {
    dataCentres = Set.copyOf(dataCentres);
  }

  /** Whether it has been read which data centres are evacuated, be it none. */
  public boolean known() {
    return version > 0;
  }
}
