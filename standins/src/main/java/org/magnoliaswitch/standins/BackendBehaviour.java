package org.magnoliaswitch.standins;

/**
 * Parameters of a backend stand-in.
 *
 * @param slots number of requests executed concurrently
 * @param queue maximum number of queued requests; further requests are rejected with status 503
 * @param serviceMillis mean service time in milliseconds
 * @param spread sigma of the log-normal distribution of service times
 * @param seed seed of the random numbers
 */
public record BackendBehaviour(
    int slots, int queue, double serviceMillis, double spread, long seed) {}
