package org.magnoliaswitch.core.request;

import java.util.Optional;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.platform.PlatformException;
import org.magnoliaswitch.core.process.KeyIssuer;
import org.magnoliaswitch.core.process.KeyOutcome;
import org.magnoliaswitch.core.process.OutcomeRecords;

/** Looks up the outcome of an idempotency key; works on every instance. */
public final class OutcomeQuery {
  private static final int NOT_FOUND = 404;
  private static final int RETRY_AFTER_SECONDS = 1;

  private final AtMostOnceExecutor.Dependencies dependencies;

  public OutcomeQuery(AtMostOnceExecutor.Dependencies dependencies) {
    this.dependencies = dependencies;
  }

  /** Result of a lookup. */
  public sealed interface Answer {
    /** The outcome is answered by this instance. */
    record Resolved(Reply reply) implements Answer {}

    /** Another live instance holds the key and must be asked. */
    record AskHolder(Member holder) implements Answer {}
  }

  /** Looks up a key. A request that another instance forwarded is answered here in any case. */
  public Answer lookup(String service, String key, boolean forwarded) {
    String scopedKey = service + '/' + key;
    Optional<KeyOutcome> localOutcome = dependencies.ledger().outcome(scopedKey);
    if (localOutcome.isPresent()) {
      return new Answer.Resolved(AtMostOnceExecutor.replay(localOutcome.get()));
    }
    Optional<String> holder =
        dependencies.issuer().parse(key).map(KeyIssuer.IssuedKey::incarnation);
    if (holder.isEmpty()) {
      holder = dependencies.claims().holder(scopedKey);
    }
    if (holder.isEmpty() || holder.get().equals(dependencies.membership().self().incarnation())) {
      return unknown();
    }
    Optional<Member> member = dependencies.membership().live(holder.get());
    return member.isPresent() && !forwarded
        ? new Answer.AskHolder(member.get())
        : answerFromRecords(holder.get(), scopedKey);
  }

  private Answer answerFromRecords(String holder, String scopedKey) {
    try {
      OutcomeRecords.Lookup lookup = dependencies.records().lookup(holder, scopedKey);
      return lookup
          .finished()
          .<Answer>map(
              finished -> new Answer.Resolved(AtMostOnceExecutor.replay(finished.outcome())))
          .orElseGet(OutcomeQuery::unknown);
    } catch (PlatformException e) {
      return unknown();
    }
  }

  /**
   * Answers that no outcome is known. This does not prove that the request is never executed, since
   * it may still be on its way.
   */
  private static Answer unknown() {
    return new Answer.Resolved(
        Reply.local(NOT_FOUND, Outcome.UNKNOWN, "no outcome is on record", RETRY_AFTER_SECONDS));
  }
}
