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

  /** Not executed; the next request under the key may be. */
  record NotExecuted() implements KeyOutcome {}

  /** Sent, and no whole answer came; never to be sent again. */
  record Unknown() implements KeyOutcome {}

  /** At work now. */
  record Running() implements KeyOutcome {}
}
