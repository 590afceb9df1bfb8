package org.magnoliaswitch.core.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A claim of an idempotency key for one incarnation.
 *
 * @param key the key, prefixed by its service
 * @param incarnation who may execute the request
 * @param fingerprint digest of the request's method, path and body
 * @param replacesRow row version to replace, 0 for a key that nobody holds
 * @param retentionSeconds how long the claim is kept
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Claim(
    String key, String incarnation, String fingerprint, long replacesRow, long retentionSeconds) {}
