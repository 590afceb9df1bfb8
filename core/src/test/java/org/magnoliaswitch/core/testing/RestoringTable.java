package org.magnoliaswitch.core.testing;

import java.util.List;
import java.util.Optional;
import org.magnoliaswitch.core.platform.ConditionalWrite;
import org.magnoliaswitch.core.platform.PlatformException;
import org.magnoliaswitch.core.platform.PlatformTable;
import org.magnoliaswitch.core.platform.Row;
import org.magnoliaswitch.core.platform.TransactionResult;

/**
 * A client of a {@link FakePlatform} that, as a real one, learns the epoch from responses only, and
 * that may restore the platform while a transaction is on its way.
 */
public final class RestoringTable implements PlatformTable {
  private final FakePlatform platform;
  private Optional<Runnable> beforeNextTransaction = Optional.empty();
  private Optional<Runnable> afterNextTransaction = Optional.empty();
  private long epoch;

  public RestoringTable(FakePlatform platform) {
    this.platform = platform;
  }

  /** Runs an action when the next transaction has been sent, but not been applied. */
  public void beforeNextTransaction(Runnable action) {
    beforeNextTransaction = Optional.of(action);
  }

  /** Runs an action when the next transaction has been applied, but not been answered. */
  public void afterNextTransaction(Runnable action) {
    afterNextTransaction = Optional.of(action);
  }

  @Override
  public List<Row> read(List<String> keys) throws PlatformException {
    List<Row> rows = platform.read(keys);
    epoch = platform.epoch();
    return rows;
  }

  @Override
  public List<Row> scan(String prefix, int limit) throws PlatformException {
    List<Row> rows = platform.scan(prefix, limit);
    epoch = platform.epoch();
    return rows;
  }

  @Override
  public TransactionResult transact(List<ConditionalWrite> writes) {
    Optional<Runnable> before = beforeNextTransaction;
    beforeNextTransaction = Optional.empty();
    before.ifPresent(Runnable::run);
    TransactionResult result = platform.transact(writes);
    Optional<Runnable> after = afterNextTransaction;
    afterNextTransaction = Optional.empty();
    after.ifPresent(Runnable::run);
    epoch = result instanceof TransactionResult.Unknown ? epoch : platform.epoch();
    return result;
  }

  @Override
  public long epoch() {
    return epoch;
  }
}
