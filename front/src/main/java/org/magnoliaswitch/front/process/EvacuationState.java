package org.magnoliaswitch.front.process;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.version.Evacuations;

/**
 * The data centres that this instance treats as evacuated. Evacuations that a source has lost
 * because it was restored from a copy stay in force until they are declared again.
 */
final class EvacuationState {
  /**
   * How long a lost evacuation stays in force. What was lost is declared again within two seconds;
   * an evacuation that is not has been ended by its operator.
   */
  static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final Map<String, Long> keptUntilNanos = new HashMap<>();
  private Evacuations declared = Evacuations.UNKNOWN;

  /** Applies declared evacuations and returns the number of lost ones that stay in force. */
  int apply(Evacuations next, long nowNanos) {
    if (next.revision().epoch() > declared.revision().epoch()) {
      // What the copy before lacked may have been declared again there, and lost once more.
      keptUntilNanos.replaceAll((dataCentre, until) -> nowNanos + HOLD_NANOS);
      for (String dataCentre : declared.dataCentres()) {
        keptUntilNanos.put(dataCentre, nowNanos + HOLD_NANOS);
      }
    }
    next.dataCentres().forEach(keptUntilNanos::remove);
    declared = next;
    return keptUntilNanos.size();
  }

  /** Ends lost evacuations that were not declared again in time; returns whether there are any. */
  boolean removeExpired(long nowNanos) {
    return keptUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
  }

  /** Whether a data centre is evacuated. */
  boolean evacuated(String dataCentre) {
    return declared.dataCentres().contains(dataCentre) || keptUntilNanos.containsKey(dataCentre);
  }
}
