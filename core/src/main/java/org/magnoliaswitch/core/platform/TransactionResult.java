package org.magnoliaswitch.core.platform;

import java.util.List;

/** The outcome of a table transaction as far as the writer can know it. */
public sealed interface TransactionResult {
  /** All writes took effect. */
  record Committed() implements TransactionResult {}

  /**
   * None took effect, since these rows had other versions.
   *
   * @param rows the rows as they are
   */
  record Conflict(List<Row> rows) implements TransactionResult {}

  /**
   * No answer came. The writes may have taken effect, or may still do so later.
   *
   * @param reason for logs
   */
  record Unknown(String reason) implements TransactionResult {}
}
