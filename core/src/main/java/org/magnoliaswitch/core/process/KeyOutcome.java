package org.magnoliaswitch.core.process;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Optional;

/** Outcome of a key as known to the incarnation that may execute it. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = KeyOutcome.Executed.class, name = "executed"),
  @JsonSubTypes.Type(value = KeyOutcome.NotExecuted.class, name = "not-executed"),
  @JsonSubTypes.Type(value = KeyOutcome.Unknown.class, name = "unknown"),
  @JsonSubTypes.Type(value = KeyOutcome.Running.class, name = "running")
})
public sealed interface KeyOutcome {
  /** Executed; the answer is present unless it was too large to keep. */
  record Executed(Optional<StoredAnswer> answer) implements KeyOutcome {}

  /**
   * Not executed; a later attempt under the key may be.
   *
   * @param attempt number of the attempt that was answered so. A balancer in front may have sent
   *     that attempt twice; executing its other copy now would make the answer to the caller false
   */
  record NotExecuted(int attempt) implements KeyOutcome {
    /**
     * Returns whether an attempt may be executed: it must be later than the rejected one, which
     * shows that the caller has received the rejection.
     */
    boolean permits(int laterAttempt) {
      return laterAttempt > attempt;
    }
  }

  /** Sent, but no complete answer was received; must never be sent again. */
  record Unknown() implements KeyOutcome {}

  /** Being executed now. */
  record Running() implements KeyOutcome {}
}
