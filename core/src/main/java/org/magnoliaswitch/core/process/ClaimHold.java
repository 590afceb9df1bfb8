package org.magnoliaswitch.core.process;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.platform.ConditionalWrite;
import org.magnoliaswitch.core.platform.PlatformException;
import org.magnoliaswitch.core.platform.PlatformTable;
import org.magnoliaswitch.core.platform.Row;
import org.magnoliaswitch.core.platform.TransactionResult;

/**
 * Decides whether a key without a row may be claimed. After a restore the copy may lack its claim,
 * so the key is held back until a claim made before the restore would have expired.
 *
 * <p>The first instance that notices an epoch inserts a row that remains, and one row for each of
 * {@link #RETENTION_STEPS} that the table deletes after that time. The table thus measures the
 * time, the same for all instances, and no copy from before the restore contains these rows.
 */
final class ClaimHold {
  /**
   * Retentions in seconds for which the end of the hold is known. A claim with another retention
   * waits for the next longer one; one above the last is held back throughout the epoch.
   */
  private static final List<Long> RETENTION_STEPS =
      List.of(
          60L,
          TimeUnit.MINUTES.toSeconds(15),
          TimeUnit.HOURS.toSeconds(1),
          TimeUnit.HOURS.toSeconds(6),
          TimeUnit.DAYS.toSeconds(1),
          TimeUnit.DAYS.toSeconds(3),
          TimeUnit.DAYS.toSeconds(7),
          TimeUnit.DAYS.toSeconds(30),
          TimeUnit.DAYS.toSeconds(365));

  /** While keys are held back, the rows are read again after this time at the earliest. */
  private static final long REFRESH_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Sufficient to learn the epoch, insert the rows and read them, with one restore between. */
  private static final int MAX_READS = 5;

  private static final String PREFIX = "claim-hold/";
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * What may be claimed in an epoch.
   *
   * @param epoch epoch of the platform; keys are never held back in epoch 0
   * @param permittedSeconds longest retention of a claim that a key without a row may get
   * @param beganMillis wall-clock time at which the hold began, for {@link #retryAfterSeconds} only
   */
  record State(long epoch, long permittedSeconds, long beganMillis) {
    /** Returns whether a key without a row has no earlier claim that is still valid. */
    boolean permits(long retentionSeconds) {
      return epoch == 0 || (retentionSeconds > 0 && retentionSeconds <= permittedSeconds);
    }

    /**
     * Returns when a request that was held back should come again: after as long as the hold has
     * lasted, since holders repeat their claims at its beginning, but no later than at its end.
     */
    long retryAfterSeconds(long retentionSeconds, long nowMillis) {
      long elapsed = Math.max(0, TimeUnit.MILLISECONDS.toSeconds(nowMillis - beganMillis));
      long total =
          RETENTION_STEPS.stream()
              .filter(step -> step >= retentionSeconds)
              .findFirst()
              .orElse(Long.MAX_VALUE);
      return Math.max(1, Math.min(elapsed, total - elapsed));
    }
  }

  private record Cached(State state, long readNanos) {}

  private final PlatformTable table;
  private final Clocks clocks;
  private final AtomicReference<Cached> cached = new AtomicReference<>();

  ClaimHold(PlatformTable table, Clocks clocks) {
    this.table = table;
    this.clocks = clocks;
  }

  /**
   * Returns what may be claimed now. A transaction relies on it only if the platform's epoch is
   * still the same afterwards.
   *
   * @throws PlatformException if the rows cannot be read or inserted
   */
  State state() throws PlatformException {
    for (int reads = 0; reads < MAX_READS; reads++) {
      long epoch = table.epoch();
      Cached known = cached.get();
      if (known != null && known.state().epoch() == epoch && isCurrent(known)) {
        return known.state();
      }
      List<Row> rows = table.read(rowKeys(epoch));
      if (table.epoch() != epoch) {
        continue;
      }
      if (epoch == 0 || rows.getFirst().version() > 0) {
        State state = new State(epoch, permittedSeconds(rows), beganMillis(rows.getFirst()));
        cached.set(new Cached(state, clocks.nanos()));
        return state;
      }
      begin(epoch);
    }
    throw new PlatformException("the platform is being restored");
  }

  /**
   * Returns in how many seconds a request should come again whose key is held back, or empty if
   * keys with this retention are not, as far as is known without a call.
   */
  OptionalLong retryAfterSeconds(long retentionSeconds) {
    Cached known = cached.get();
    return known == null || known.state().permits(retentionSeconds)
        ? OptionalLong.empty()
        : OptionalLong.of(known.state().retryAfterSeconds(retentionSeconds, clocks.millis()));
  }

  private boolean isCurrent(Cached known) {
    State state = known.state();
    return state.epoch() == 0
        || state.permittedSeconds() == RETENTION_STEPS.getLast()
        || clocks.nanos() - known.readNanos() < REFRESH_NANOS;
  }

  private void begin(long epoch) throws PlatformException {
    List<String> keys = rowKeys(epoch);
    List<ConditionalWrite> writes = new ArrayList<>();
    writes.add(new ConditionalWrite(keys.getFirst(), 0, String.valueOf(clocks.millis()), 0));
    for (int i = 0; i < RETENTION_STEPS.size(); i++) {
      writes.add(new ConditionalWrite(keys.get(i + 1), 0, "", RETENTION_STEPS.get(i)));
    }
    switch (table.transact(writes)) {
      case TransactionResult.Committed committed ->
          logger.atWarning().log("event=claims_held epoch=%d", epoch);
      case TransactionResult.Conflict conflict ->
          logger.atFine().log("event=claims_held_by_another epoch=%d", epoch);
      case TransactionResult.Unknown unknown -> throw new PlatformException(unknown.reason());
    }
  }

  private static long permittedSeconds(List<Row> rows) {
    long permitted = 0;
    for (int i = 0; i < RETENTION_STEPS.size(); i++) {
      if (rows.get(i + 1).version() > 0) {
        return permitted;
      }
      permitted = RETENTION_STEPS.get(i);
    }
    return permitted;
  }

  private long beganMillis(Row row) {
    try {
      return Long.parseLong(row.value());
    } catch (NumberFormatException e) {
      return clocks.millis();
    }
  }

  /** Returns the keys of the row that remains and of those with a retention, in this order. */
  private static List<String> rowKeys(long epoch) {
    List<String> keys = new ArrayList<>();
    keys.add(PREFIX + epoch);
    RETENTION_STEPS.forEach(seconds -> keys.add(PREFIX + epoch + '/' + seconds));
    return keys;
  }
}
