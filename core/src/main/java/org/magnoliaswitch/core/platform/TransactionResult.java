package org.magnoliaswitch.core.platform;

import java.util.List;

/** The result of a table transaction, as far as it is known to the writer. */
public sealed interface TransactionResult {
  /** All writes were applied. */
  record Committed() implements TransactionResult {}

  /**
   * No write was applied, because at least one row did not have the expected version.
   *
   * @param rows current state of the rows with other versions
   */
  record Conflict(List<Row> rows) implements TransactionResult {}

  /**
   * No valid answer was received. The writes may have been applied or may still be applied later.
   *
   * @param reason description of the failure, for logs and operators
   */
  record Unknown(String reason) implements TransactionResult {}
}
