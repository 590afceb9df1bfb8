package org.magnoliaswitch.core.process;

import org.magnoliaswitch.core.clock.HybridTimestamp;

/**
 * One event of the timeline.
 *
 * @param time when it happened, comparable across processes
 * @param instance instance that recorded it
 * @param kind kind of the event
 * @param request request id, or empty
 * @param service service name, or empty
 * @param server backend server id, or empty
 * @param detail further key=value pairs, or empty
 */
public record TimelineEvent(
    HybridTimestamp time,
    String instance,
    EventKind kind,
    String request,
    String service,
    String server,
    String detail) {}
