package org.magnoliaswitch.core.version;

/**
 * Rules for retries and hedges, which share one budget.
 *
 * @param budgetRatio further attempts allowed per request on average, 0 to 0.5
 * @param maxAttempts maximum number of sequential attempts of a request, including the first; each
 *     may have one hedge, which does not count
 * @param hedging whether a second attempt may start before the first has failed
 * @param hedgeQuantile quantile of the recent latencies after which a hedge starts
 */
public record RetryPolicy(
    double budgetRatio, int maxAttempts, boolean hedging, double hedgeQuantile) {}
