package org.magnoliaswitch.standins;

/**
 * How a backend stand-in serves.
 *
 * @param slots requests executed at once
 * @param queue requests that may wait; more are refused with 503
 * @param serviceMillis mean service time
 * @param spread sigma of the log-normal service time
 * @param seed seed of its random numbers
 */
public record BackendBehaviour(
    int slots, int queue, double serviceMillis, double spread, long seed) {}
