package org.magnoliaswitch.front.version;

import java.util.Set;

/**
 * Data centres whose servers receive no new requests until an operator reinstates them.
 *
 * @param revision position in the history of the source
 * @param dataCentres names of the evacuated data centres
 */
public record Evacuations(Revision revision, Set<String> dataCentres) {
  /** Evacuations before any have been read. */
  public static final Evacuations UNKNOWN = new Evacuations(Revision.NONE, Set.of());

  public Evacuations {
    dataCentres = Set.copyOf(dataCentres);
  }

  /** Whether the evacuated data centres have been read, even if there are none. */
  public boolean known() {
    return revision.known();
  }
}
