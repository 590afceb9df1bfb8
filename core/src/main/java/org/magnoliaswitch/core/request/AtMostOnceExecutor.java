package org.magnoliaswitch.core.request;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.peer.Claim;
import org.magnoliaswitch.core.peer.ClaimResult;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.platform.PlatformException;
import org.magnoliaswitch.core.process.EventKind;
import org.magnoliaswitch.core.process.KeyClaims;
import org.magnoliaswitch.core.process.KeyIssuer;
import org.magnoliaswitch.core.process.KeyOutcome;
import org.magnoliaswitch.core.process.Membership;
import org.magnoliaswitch.core.process.OutcomeLedger;
import org.magnoliaswitch.core.process.OutcomeRecords;
import org.magnoliaswitch.core.process.StoredAnswer;
import org.magnoliaswitch.core.process.Timeline;
import org.magnoliaswitch.core.version.KeyPolicy;

/**
 * Executes requests at most once for each idempotency key.
 *
 * <p>Only one incarnation ever executes the request of a key: the incarnation that an issued key
 * names, or the one that is recorded in the claim row of a caller's own key. The others forward the
 * request to it and, when it is gone, answer from its records. This does not depend on time: a
 * holder that resumes after a pause is still the only incarnation that executes the key.
 */
public final class AtMostOnceExecutor {
  private static final int UNPROCESSABLE = 422;
  private static final int PRECONDITION_REQUIRED = 428;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;
  private static final int UNAVAILABLE = 503;
  private static final int TIMEOUT = 504;
  private static final int RETRY_AFTER_SECONDS = 1;
  private static final int MAX_JOINS = 3;

  /**
   * Dependencies of the executor.
   *
   * @param issuer issues keys and recognises issued ones
   * @param ledger keys that this incarnation executes
   * @param claims claims keys that callers generated themselves
   * @param records outcomes of incarnations that are gone
   * @param membership known instances
   * @param holderClient forwards requests to other instances
   * @param outcomeAwaiter waits for another request with the same key
   */
  public record Dependencies(
      KeyIssuer issuer,
      OutcomeLedger ledger,
      KeyClaims claims,
      OutcomeRecords records,
      Membership membership,
      KeyHolderClient holderClient,
      OutcomeAwaiter outcomeAwaiter) {}

  private final Dependencies dependencies;
  private final Function<InboundRequest, Reply> execute;
  private final boolean callersBalancerResends;
  private final Clocks clocks;
  private final Timeline timeline;

  /**
   * Creates an executor.
   *
   * @param callersBalancerResends whether the load balancer of the callers may send a request twice
   *     by itself; a caller's statement that this is the first attempt then proves nothing
   */
  public AtMostOnceExecutor(
      Dependencies dependencies,
      Function<InboundRequest, Reply> execute,
      boolean callersBalancerResends,
      Clocks clocks,
      Timeline timeline) {
    this.dependencies = dependencies;
    this.execute = execute;
    this.callersBalancerResends = callersBalancerResends;
    this.clocks = clocks;
    this.timeline = timeline;
  }

  /** Serves a request of a kind that must be executed at most once. */
  public Reply serve(InboundRequest request) {
    KeyPolicy policy = request.service().profile().keys();
    if (!policy.protectionEnabled()) {
      return execute.apply(request);
    }
    if (request.key().isEmpty()) {
      return policy.required()
          ? Reply.local(
              PRECONDITION_REQUIRED, Outcome.NOT_EXECUTED, "an Idempotency-Key is needed", 0)
          : execute.apply(request);
    }
    String key = request.key().get();
    Optional<KeyIssuer.IssuedKey> issued = dependencies.issuer().parse(key);
    String scopedKey = request.service().service().name() + '/' + key;
    KeyedRequest keyed = new KeyedRequest(request, scopedKey, fingerprint(request), policy);
    if (issued.isEmpty()) {
      return executeLocally(keyed, true);
    }
    if (!issued.get().incarnation().equals(self())) {
      return askHolder(keyed, issued.get().incarnation(), Optional.empty());
    }
    return dependencies.issuer().expired(issued.get(), policy.retentionSeconds())
        ? Reply.local(GONE, Outcome.UNKNOWN, "the key is older than outcomes are kept", 0)
        : executeLocally(keyed, false);
  }

  private record KeyedRequest(
      InboundRequest request, String key, String fingerprint, KeyPolicy policy) {}

  private Reply executeLocally(KeyedRequest keyed, boolean needsClaim) {
    for (int joins = 0; joins < MAX_JOINS; joins++) {
      OutcomeLedger.Admission admission =
          dependencies
              .ledger()
              .begin(
                  keyed.key(),
                  keyed.fingerprint(),
                  keyed.policy().retentionSeconds(),
                  attemptNumber(keyed.request()));
      switch (admission) {
        case OutcomeLedger.Admission.Execute execution -> {
          return needsClaim ? claimAndExecute(keyed, 0) : executeAndRecord(keyed);
        }
        case OutcomeLedger.Admission.Known known -> {
          return replay(known.outcome());
        }
        case OutcomeLedger.Admission.Mismatch mismatch -> {
          return mismatch();
        }
        case OutcomeLedger.Admission.Join join -> {
          KeyOutcome outcome =
              dependencies.outcomeAwaiter().await(join.result(), keyed.request().deadline());
          if (!(outcome instanceof KeyOutcome.NotExecuted)) {
            return replay(outcome);
          }
        }
      }
    }
    return Reply.local(UNAVAILABLE, Outcome.UNKNOWN, "the key is in use", RETRY_AFTER_SECONDS);
  }

  /**
   * Claims the key for this incarnation. The ledger has an open entry for the key, which must be
   * finished or withdrawn here.
   */
  private Reply claimAndExecute(KeyedRequest keyed, long replacesRow) {
    InboundRequest request = keyed.request();
    Claim claim =
        new Claim(
            keyed.key(),
            self(),
            keyed.fingerprint(),
            replacesRow,
            keyed.policy().retentionSeconds());
    long waitNanos = request.deadline().remaining(clocks.nanos()) / 2;
    ClaimResult result =
        dependencies.claims().claim(claim, keyed.policy().claimWindowMillis(), waitNanos);
    recordEvent(keyed, EventKind.CLAIMED, "status=" + result.status());
    return switch (result.status()) {
      case GRANTED -> executeAndRecord(keyed);
      case HELD -> {
        dependencies.ledger().withdraw(keyed.key());
        yield result.fingerprint().equals(keyed.fingerprint())
            ? askHolder(keyed, result.holder(), Optional.of(result))
            : mismatch();
      }
      case UNAVAILABLE -> {
        // The key has no outcome here: another instance may hold it and have executed the request.
        dependencies.ledger().withdraw(keyed.key());
        yield claimUnavailable(keyed);
      }
    };
  }

  /**
   * Replies to a request that was not executed because the claim table did not answer, or because
   * the table was restored and may have lost the claim of the key. Without the claim it is unknown
   * whether an earlier request with the key was executed, unless the caller states that there was
   * none and no load balancer sends requests twice.
   */
  private Reply claimUnavailable(KeyedRequest keyed) {
    InboundRequest request = keyed.request();
    OptionalLong heldBack =
        dependencies.claims().retryAfterSeconds(keyed.policy().retentionSeconds());
    heldBack.ifPresent(seconds -> recordEvent(keyed, EventKind.CLAIM_FAILED, "reason=restored"));
    int retryAfterSeconds = (int) Math.min(Integer.MAX_VALUE, heldBack.orElse(RETRY_AFTER_SECONDS));
    boolean first = request.attempt().declared() && request.attempt().number() == 1;
    String reason = "keys cannot be claimed now";
    return first && !callersBalancerResends
        ? Reply.local(UNAVAILABLE, Outcome.NOT_EXECUTED, reason, retryAfterSeconds)
        : Reply.attemptNotExecuted(UNAVAILABLE, reason, retryAfterSeconds);
  }

  private Reply executeAndRecord(KeyedRequest keyed) {
    KeyOutcome outcome = new KeyOutcome.Unknown();
    try {
      Reply reply = execute.apply(keyed.request());
      outcome = outcomeOf(keyed.request(), reply);
      return reply;
    } finally {
      dependencies.ledger().finish(keyed.key(), outcome);
    }
  }

  private static KeyOutcome outcomeOf(InboundRequest request, Reply reply) {
    return switch (reply.outcome()) {
      case EXECUTED -> new KeyOutcome.Executed(toStoredAnswer(reply));
      case NOT_EXECUTED -> notExecuted(request);
      case UNKNOWN -> new KeyOutcome.Unknown();
    };
  }

  /**
   * Number of the attempt. A caller that does not number its attempts is assumed to know of earlier
   * refusals, so its request counts as a later attempt.
   */
  private static int attemptNumber(InboundRequest request) {
    return request.attempt().declared() ? request.attempt().number() : Integer.MAX_VALUE;
  }

  private static KeyOutcome notExecuted(InboundRequest request) {
    return new KeyOutcome.NotExecuted(
        request.attempt().declared() ? request.attempt().number() : 0);
  }

  private static Optional<StoredAnswer> toStoredAnswer(Reply reply) {
    byte[] body = reply.bufferedBody();
    if (body == null) {
      return Optional.empty();
    }
    Map<String, String> fields = new LinkedHashMap<>();
    reply
        .fields()
        .forEach(field -> fields.merge(field.name(), field.value(), (a, b) -> a + ", " + b));
    return Optional.of(new StoredAnswer(reply.status(), fields, body));
  }

  /**
   * Forwards the request to the incarnation that holds the key, or answers from its records when it
   * is gone.
   */
  private Reply askHolder(KeyedRequest keyed, String holder, Optional<ClaimResult> claim) {
    InboundRequest request = keyed.request();
    boolean forwarded = request.field(HolderForwarder.HOP_HEADER).isPresent();
    Optional<Member> member = dependencies.membership().live(holder);
    if (member.isPresent() && !forwarded) {
      recordEvent(keyed, EventKind.FORWARDED, "holder=" + holder);
      AttemptResult result = dependencies.holderClient().forward(request, member.get());
      if (result instanceof AttemptResult.Answered answered) {
        return answered.reply();
      }
      if (!(result instanceof AttemptResult.NotSent)) {
        return Reply.local(TIMEOUT, Outcome.UNKNOWN, "no answer from the key's holder", 0);
      }
    }
    return answerFromRecords(keyed, holder, claim);
  }

  private Reply answerFromRecords(KeyedRequest keyed, String holder, Optional<ClaimResult> claim) {
    try {
      OutcomeRecords.Lookup lookup = dependencies.records().lookup(holder, keyed.key());
      if (lookup.finished().isPresent()) {
        return answerFromRecord(keyed, lookup.finished().get(), lookup.complete(), claim);
      }
      return lookup.complete()
          ? takeOverUnexecuted(keyed, claim)
          : Reply.local(
              UNAVAILABLE, Outcome.UNKNOWN, "the key's holder is gone", RETRY_AFTER_SECONDS);
    } catch (PlatformException e) {
      return Reply.local(
          UNAVAILABLE, Outcome.UNKNOWN, "the key's records cannot be read", RETRY_AFTER_SECONDS);
    }
  }

  private Reply answerFromRecord(
      KeyedRequest keyed,
      OutcomeLedger.Finished finished,
      boolean complete,
      Optional<ClaimResult> claim) {
    if (!finished.fingerprint().equals(keyed.fingerprint())) {
      return mismatch();
    }
    if (finished.outcome() instanceof KeyOutcome.NotExecuted refused) {
      if (claim.isPresent() && attemptNumber(keyed.request()) <= refused.attempt()) {
        return replay(refused);
      }
      // Without the final segment, the holder may have executed the key after this
      // record.
      return complete
          ? takeOverUnexecuted(keyed, claim)
          : Reply.local(
              UNAVAILABLE, Outcome.UNKNOWN, "the key's holder is gone", RETRY_AFTER_SECONDS);
    }
    return replay(finished.outcome());
  }

  /**
   * Handles a key whose holder stopped gracefully without executing it. A claimed key is taken over
   * by replacing exactly the row that was read. An issued key remains unusable, since otherwise two
   * of the remaining instances could both execute it.
   */
  private Reply takeOverUnexecuted(KeyedRequest keyed, Optional<ClaimResult> claim) {
    if (claim.isEmpty()) {
      return Reply.local(CONFLICT, Outcome.NOT_EXECUTED, "use a new key: its instance is gone", 0);
    }
    OutcomeLedger.Admission admission =
        dependencies
            .ledger()
            .begin(
                keyed.key(),
                keyed.fingerprint(),
                keyed.policy().retentionSeconds(),
                attemptNumber(keyed.request()));
    return admission instanceof OutcomeLedger.Admission.Execute
        ? claimAndExecute(keyed, claim.get().row())
        : Reply.local(UNAVAILABLE, Outcome.UNKNOWN, "the key is in use", RETRY_AFTER_SECONDS);
  }

  /** Creates the reply for a key whose outcome is known. */
  static Reply replay(KeyOutcome outcome) {
    return switch (outcome) {
      case KeyOutcome.Executed executed ->
          executed
              .answer()
              .map(AtMostOnceExecutor::fromStoredAnswer)
              .orElseGet(
                  () ->
                      Reply.local(
                          CONFLICT, Outcome.EXECUTED, "the answer was too large to keep", 0));
      case KeyOutcome.NotExecuted notExecuted ->
          Reply.local(UNAVAILABLE, Outcome.NOT_EXECUTED, "not executed", RETRY_AFTER_SECONDS);
      case KeyOutcome.Unknown unknown ->
          Reply.local(CONFLICT, Outcome.UNKNOWN, "sent once, and no whole answer came", 0);
      case KeyOutcome.Running running ->
          Reply.local(CONFLICT, Outcome.UNKNOWN, "at work", RETRY_AFTER_SECONDS);
    };
  }

  private static Reply fromStoredAnswer(StoredAnswer answer) {
    List<Field> fields = new ArrayList<>();
    answer.fields().forEach((name, value) -> fields.add(new Field(name, value)));
    fields.add(new Field("Idempotency-Replayed", "true"));
    return new Reply(
        answer.status(), fields, new Reply.Body.Buffered(answer.body()), Outcome.EXECUTED);
  }

  private static Reply mismatch() {
    return Reply.local(
        UNPROCESSABLE, Outcome.NOT_EXECUTED, "the key was used for another request", 0);
  }

  private String self() {
    return dependencies.membership().self().incarnation();
  }

  private void recordEvent(KeyedRequest keyed, EventKind kind, String detail) {
    timeline.record(
        kind, keyed.request().id(), keyed.request().service().service().name(), "", detail);
  }

  private static String fingerprint(InboundRequest request) {
    Hasher hasher = Hashing.sha256().newHasher();
    hasher.putString(request.method() + ' ' + request.target() + '\n', StandardCharsets.UTF_8);
    if (request.body() instanceof InboundRequest.Body.Buffered buffered) {
      hasher.putBytes(buffered.content());
    }
    return hasher.hash().toString().substring(0, 32);
  }
}
