package org.magnoliaswitch.core.process;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Optional;

/** What is known of a key at the incarnation that may execute it. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = KeyOutcome.Executed.class, name = "executed"),
  @JsonSubTypes.Type(value = KeyOutcome.NotExecuted.class, name = "not-executed"),
  @JsonSubTypes.Type(value = KeyOutcome.Unknown.class, name = "unknown"),
  @JsonSubTypes.Type(value = KeyOutcome.Running.class, name = "running")
})
public sealed interface KeyOutcome {
  /** Executed; the answer is there unless it was too large to keep. */
  record Executed(Optional<StoredAnswer> answer) implements KeyOutcome {}

  /**
   * Not executed; a later attempt under the key may be.
   *
   * @param attempt number of the attempt that was told so. A balancer in front may have sent that
   *     attempt twice; were its other copy executed now, what the caller was told would turn false
   */
  record NotExecuted(int attempt) implements KeyOutcome {
    /** Whether a request may run after this: the caller knows of the earlier refusal. */
    boolean permits(int laterAttempt) {
      return laterAttempt > attempt;
    }
  }

  /** Sent, and no whole answer came; never to be sent again. */
  record Unknown() implements KeyOutcome {}

  /** At work now. */
  record Running() implements KeyOutcome {}
}
