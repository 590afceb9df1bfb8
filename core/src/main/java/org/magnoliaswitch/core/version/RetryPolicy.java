package org.magnoliaswitch.core.version;

/**
 * The budget that retries and hedges share.
 *
 * @param budgetRatio extra attempts allowed per request, 0 to 0.5
 * @param maxAttempts attempts of one request, first one included
 * @param hedging whether a second attempt may start before the first one failed
 * @param hedgeQuantile quantile of recent latency after which a hedge starts
 */
public record RetryPolicy(
    double budgetRatio, int maxAttempts, boolean hedging, double hedgeQuantile) {}
