package org.magnoliaswitch.core.version;

/**
 * Rules for the idempotency keys of requests that are executed at most once.
 *
 * @param required whether a request without a key is rejected
 * @param retentionSeconds how long the outcome of a request can be queried
 * @param claimWindowMillis how long claims are collected for a common table transaction
 * @param protectionEnabled whether keys prevent double executions; if false, requests are executed
 *     without regard to their keys. Experiments set it to false to show that their check for double
 *     executions detects a missing protection
 */
public record KeyPolicy(
    boolean required, int retentionSeconds, int claimWindowMillis, boolean protectionEnabled) {}
