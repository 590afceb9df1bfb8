package org.magnoliaswitch.core.request;

import java.util.Optional;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.platform.PlatformException;
import org.magnoliaswitch.core.process.KeyIssuer;
import org.magnoliaswitch.core.process.KeyOutcome;
import org.magnoliaswitch.core.process.OutcomeRecords;

/** Answers what became of a key, from any instance. */
public final class OutcomeQuery {
  private static final int NOT_FOUND = 404;
  private static final int RETRY_AFTER_SECONDS = 1;

  private final AtMostOnceExecutor.Dependencies dependencies;

  public OutcomeQuery(AtMostOnceExecutor.Dependencies parts) {
    this.dependencies = parts;
  }

  /** Whom to ask about a key. */
  public sealed interface Answer {
    /** The outcome as told here. */
    record Resolved(Reply reply) implements Answer {}

    /** Another live instance holds the key. */
    record AskHolder(Member holder) implements Answer {}
  }

  /** Looks a key up. */
  public Answer lookup(String service, String key, boolean passedOn) {
    String scoped = service + '/' + key;
    Optional<KeyOutcome> here = dependencies.ledger().outcome(scoped);
    if (here.isPresent()) {
      return new Answer.Resolved(AtMostOnceExecutor.replay(here.get()));
    }
    Optional<String> holder =
        dependencies.issuer().parse(key).map(KeyIssuer.IssuedKey::incarnation);
    if (holder.isEmpty()) {
      holder = dependencies.claims().holder(scoped);
    }
    if (holder.isEmpty() || holder.get().equals(dependencies.membership().self().incarnation())) {
      return unknown();
    }
    Optional<Member> member = dependencies.membership().live(holder.get());
    return member.isPresent() && !passedOn
        ? new Answer.AskHolder(member.get())
        : answerFromRecords(holder.get(), scoped);
  }

  private Answer answerFromRecords(String holder, String scoped) {
    try {
      OutcomeRecords.Lookup lookup = dependencies.records().lookup(holder, scoped);
      return lookup
          .finished()
          .<Answer>map(f -> new Answer.Resolved(AtMostOnceExecutor.replay(f.outcome())))
          .orElseGet(OutcomeQuery::unknown);
    } catch (PlatformException e) {
      return unknown();
    }
  }

  /** Nothing is known, which proves nothing: a request may still be on its way. */
  private static Answer unknown() {
    return new Answer.Resolved(
        Reply.local(NOT_FOUND, Outcome.UNKNOWN, "no outcome is on record", RETRY_AFTER_SECONDS));
  }
}
