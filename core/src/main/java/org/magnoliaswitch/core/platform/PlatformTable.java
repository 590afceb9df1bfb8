package org.magnoliaswitch.core.platform;

import java.util.List;

/** The platform's transactional table service. */
public interface PlatformTable {
  /** Reads rows; an absent row is returned with version 0. */
  List<Row> read(List<String> keys) throws PlatformException;

  /** Reads at most {@code limit} rows whose keys start with the prefix, in descending key order. */
  List<Row> scan(String prefix, int limit) throws PlatformException;

  /**
   * Applies all writes or none. If a row does not have the expected version, the result is a
   * conflict with the current rows.
   */
  TransactionResult transact(List<ConditionalWrite> writes);

  /**
   * Returns the highest epoch that responses have named so far, 0 if none has. The epoch counts how
   * often the platform has been restored from a copy. A call before and after which this value is
   * the same was served in that epoch, unless its result is unknown.
   */
  long epoch();
}
