package org.magnoliaswitch.core.process;

import java.util.List;
import java.util.concurrent.atomic.LongAdder;
import org.magnoliaswitch.core.connection.RefusedResponse;

/** Counts responses that were not passed on, and records them in the timeline. Thread-safe. */
public final class RefusedResponses {
  private final Timeline timeline;
  private final LongAdder count = new LongAdder();

  public RefusedResponses(Timeline timeline) {
    this.timeline = timeline;
  }

  /**
   * Records the responses that were not passed on in one exchange, as one event about the last of
   * them: a server may send many.
   */
  public void record(List<RefusedResponse> responses, String service, String server) {
    if (responses.isEmpty()) {
      return;
    }
    count.add(responses.size());
    RefusedResponse last = responses.getLast();
    timeline.record(
        EventKind.RESPONSE_REFUSED,
        last.pendingId(),
        service,
        server,
        "reason="
            + last.reason().text()
            + " echoed="
            + last.echoedId()
            + " status="
            + last.status()
            + " count="
            + responses.size());
  }

  /** Number of responses that were not passed on. */
  public long count() {
    return count.sum();
  }
}
