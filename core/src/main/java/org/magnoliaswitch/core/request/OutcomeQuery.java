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

  private final OnceGate.Parts parts;

  public OutcomeQuery(OnceGate.Parts parts) {
    this.parts = parts;
  }

  /** Whom to ask about a key. */
  public sealed interface Answer {
    /** The outcome as told here. */
    record Told(Reply reply) implements Answer {}

    /** Another live instance holds the key. */
    record Ask(Member holder) implements Answer {}
  }

  /** Looks a key up. */
  public Answer ask(String service, String key, boolean passedOn) {
    String scoped = service + '/' + key;
    Optional<KeyOutcome> here = parts.ledger().outcome(scoped);
    if (here.isPresent()) {
      return new Answer.Told(OnceGate.replay(here.get()));
    }
    Optional<String> holder = parts.issuer().parse(key).map(KeyIssuer.IssuedKey::incarnation);
    if (holder.isEmpty()) {
      holder = parts.claims().holder(scoped);
    }
    if (holder.isEmpty() || holder.get().equals(parts.membership().self().incarnation())) {
      return none();
    }
    Optional<Member> member = parts.membership().live(holder.get());
    return member.isPresent() && !passedOn
        ? new Answer.Ask(member.get())
        : fromRecords(holder.get(), scoped);
  }

  private Answer fromRecords(String holder, String scoped) {
    try {
      OutcomeRecords.Lookup lookup = parts.records().lookup(holder, scoped);
      return lookup
          .finished()
          .<Answer>map(f -> new Answer.Told(OnceGate.replay(f.outcome())))
          .orElseGet(OutcomeQuery::none);
    } catch (PlatformException e) {
      return none();
    }
  }

  /** Nothing is known, which proves nothing: a request may still be on its way. */
  private static Answer none() {
    return new Answer.Told(
        Reply.own(NOT_FOUND, Outcome.UNKNOWN, "no outcome is on record", RETRY_AFTER_SECONDS));
  }
}
