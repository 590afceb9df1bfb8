package org.magnoliaswitch.core.version;

/**
 * Limits on the concurrent and the queued requests of a service.
 *
 * @param loadPerSlot target number of requests (active and queued) per slot of a backend server
 * @param maxQueue maximum number of requests that wait in one instance for one service
 * @param weighted whether the queue is ordered by harm weight; false is the baseline for
 *     comparisons
 */
public record AdmissionPolicy(double loadPerSlot, int maxQueue, boolean weighted) {}
