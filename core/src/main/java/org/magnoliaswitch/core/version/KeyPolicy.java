package org.magnoliaswitch.core.version;

/**
 * Treatment of idempotency keys for requests that execute at most once.
 *
 * @param required whether a request without a key is refused
 * @param retentionSeconds how long an outcome can be asked for
 * @param claimWindowMillis how long claims wait to share one table transaction
 * @param protectionEnabled false switches claims off, so that a check can be seen to fail
 */
public record KeyPolicy(
    boolean required, int retentionSeconds, int claimWindowMillis, boolean protectionEnabled) {}
