package org.magnoliaswitch.core.process;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.magnoliaswitch.core.platform.ConditionalWrite;
import org.magnoliaswitch.core.platform.PlatformException;
import org.magnoliaswitch.core.platform.PlatformTable;
import org.magnoliaswitch.core.platform.Row;
import org.magnoliaswitch.core.platform.TransactionResult;

/**
 * Writes remembered claims again after a restore, so that requests with their keys are passed on to
 * the holder instead of being held back.
 *
 * <p>Rows are only inserted where there are none. One that another instance has taken over may thus
 * name its former holder again, which is harmless: while keys are held back, nothing is taken over.
 */
final class ClaimRepetition {
  /** With one run a second, all remembered claims are written within 20 s. */
  private static final int MAX_BATCHES_PER_RUN = 5;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final PlatformTable table;
  private final ClaimHold hold;
  private final RememberedClaims remembered;
  private final Deque<String> remaining = new ArrayDeque<>();
  private long epoch;

  ClaimRepetition(PlatformTable table, ClaimHold hold, RememberedClaims remembered) {
    this.table = table;
    this.hold = hold;
    this.remembered = remembered;
  }

  /** Begins the hold of a new epoch and writes a part of the missing claims; one run at a time. */
  void run() {
    try {
      if (table.epoch() != epoch) {
        epoch = hold.state().epoch();
        remaining.clear();
        remaining.addAll(remembered.latestKeys());
        logger.atInfo().log("event=claims_repeating epoch=%d claims=%d", epoch, remaining.size());
      }
      for (int i = 0; i < MAX_BATCHES_PER_RUN && !remaining.isEmpty(); i++) {
        List<String> batch = remaining.stream().limit(ClaimBatcher.MAX_BATCH).toList();
        insertMissing(batch);
        batch.forEach(key -> remaining.remove());
      }
    } catch (PlatformException e) {
      logger.atWarning().log("event=claims_not_repeated epoch=%d cause=%s", table.epoch(), e);
    }
  }

  /** Inserts the rows of remembered claims among the keys that have none. */
  void insertMissing(List<String> keys) throws PlatformException {
    List<String> known = keys.stream().filter(key -> remembered.find(key).isPresent()).toList();
    if (known.isEmpty()) {
      return;
    }
    List<Row> rows = table.read(known.stream().map(ClaimBatcher::rowKey).toList());
    List<ConditionalWrite> writes = new ArrayList<>();
    for (int i = 0; i < known.size(); i++) {
      if (rows.get(i).version() == 0) {
        Optional<ConditionalWrite> write = remembered.find(known.get(i)).map(ClaimBatcher::write);
        write.ifPresent(writes::add);
      }
    }
    if (!writes.isEmpty() && !(table.transact(writes) instanceof TransactionResult.Committed)) {
      throw new PlatformException("claims were not written again");
    }
  }
}
