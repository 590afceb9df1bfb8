package org.magnoliaswitch.front.request;

/** Why a request may not be sent. */
sealed interface Denial {
  /** The reason, a single word. */
  String reason();

  /** The key is missing or unknown. */
  record Unauthorized(String reason) implements Denial {}

  /** It is not known whether the request may be sent. */
  record Unavailable(String reason) implements Denial {}

  /** The request is beyond the quota of its team. */
  record OverQuota(String reason, long retryAfterNanos) implements Denial {}
}
