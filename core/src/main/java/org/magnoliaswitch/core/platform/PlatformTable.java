package org.magnoliaswitch.core.platform;

import java.util.List;

/** The platform's transactional table service. */
public interface PlatformTable {
  /** Reads rows; absent ones come back with version 0. */
  List<Row> read(List<String> keys) throws PlatformException;

  /** Reads rows whose keys start with a prefix, at most {@code limit}, highest key first. */
  List<Row> scan(String prefix, int limit) throws PlatformException;

  /** Performs all writes or none; writes whose condition fails are told as a conflict. */
  TransactionResult transact(List<ConditionalWrite> writes);
}
