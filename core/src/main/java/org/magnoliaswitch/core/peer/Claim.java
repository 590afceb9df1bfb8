package org.magnoliaswitch.core.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A claim of an idempotency key by one incarnation.
 *
 * @param key idempotency key, prefixed by the name of its service
 * @param incarnation incarnation that may execute the request
 * @param fingerprint digest of the request's method, target (path and query) and body
 * @param replacesRow version of the row to replace, 0 if no incarnation holds the key
 * @param retentionSeconds how long the claim is kept
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Claim(
    String key, String incarnation, String fingerprint, long replacesRow, long retentionSeconds) {}
