package org.magnoliaswitch.core.version;

/**
 * How many requests go to a service at once and who is refused first.
 *
 * @param loadPerSlot wanted requests (active and queued) per slot of a backend server
 * @param maxQueue most requests waiting in one instance for one service
 * @param weighted whether harm weights order the queue; false serves as a baseline
 */
public record AdmissionPolicy(double loadPerSlot, int maxQueue, boolean weighted) {}
