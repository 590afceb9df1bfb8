package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.front.connection.CallerResponse;

/**
 * The attempts of a request and what they revealed about its execution. It decides alone whether
 * the request may be sent and whether its final response may state that it was not executed, so
 * that no callback that outlives its cause can send a non-idempotent request a second time.
 */
final class ExecutionState {
  private final boolean idempotent;
  private final List<Attempt> open = new ArrayList<>();
  private boolean possiblyExecuted;
  private @Nullable CallerResponse serverFailure;

  ExecutionState(boolean idempotent) {
    this.idempotent = idempotent;
  }

  /**
   * A final response.
   *
   * @param outcome the outcome as logged, a single word
   */
  record FinalResponse(CallerResponse response, String outcome) {}

  /**
   * Whether a server may be searched for the request: no attempt is open, and the request is
   * idempotent or provably not executed.
   */
  boolean awaitsServer() {
    return open.isEmpty() && (idempotent || !possiblyExecuted);
  }

  /** Whether an attempt may be started, for an idempotent request also beside open ones. */
  boolean mayBeSent() {
    return idempotent || awaitsServer();
  }

  /** Attempts that may still bring a response. */
  List<Attempt> open() {
    return List.copyOf(open);
  }

  /** Whether an attempt may still bring a response. */
  boolean attemptOpen() {
    return !open.isEmpty();
  }

  /** Whether the attempt is the only open one. */
  boolean onlyOpen(Attempt attempt) {
    return open.size() == 1 && open.contains(attempt);
  }

  /** Records an attempt that is started; it is open until one of the other methods is called. */
  void attemptStarted(Attempt attempt) {
    if (!mayBeSent()) {
      throw new IllegalStateException("the request may have been executed by another server");
    }
    open.add(attempt);
  }

  /** Records an attempt that ended with proof that its server did not execute the request. */
  void notExecuted(Attempt attempt) {
    open.remove(attempt);
  }

  /** Records an attempt that brought no response after a part of the request was written. */
  void broken(Attempt attempt) {
    open.remove(attempt);
    possiblyExecuted = true;
  }

  /** Records a server that executed the request and answered. */
  void answered(Attempt attempt) {
    open.remove(attempt);
    possiblyExecuted = true;
  }

  /** Records the response of a server that executed the request and failed. */
  void serverFailed(CallerResponse failure) {
    serverFailure = failure;
  }

  /** Cancels all open attempts and the work of their servers. */
  void cancelAll() {
    possiblyExecuted |= anyWritten();
    open.forEach(Attempt::cancel);
    open.clear();
  }

  private boolean anyWritten() {
    return open.stream().anyMatch(Attempt::written);
  }

  /**
   * The final response of a request that is given up; empty if it was not executed and will not be.
   *
   * @param status status for a request that may have been executed
   */
  Optional<FinalResponse> finalResponse(HttpResponseStatus status, String reason) {
    if (serverFailure != null) {
      // The server executed the request, so its response is more informative for the caller than
      // one that this instance creates.
      return Optional.of(new FinalResponse(serverFailure, RequestReport.SERVER_FAILED));
    }
    return possiblyExecuted || anyWritten()
        ? Optional.of(new FinalResponse(CallerResponses.possiblyExecuted(status, reason), reason))
        : Optional.empty();
  }
}
