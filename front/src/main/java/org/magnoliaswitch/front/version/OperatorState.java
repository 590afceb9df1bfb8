package org.magnoliaswitch.front.version;

/**
 * State declared by operators, as of one read.
 *
 * @param routes the configuration, or {@link RouteTable#EMPTY} if it has not changed or is invalid
 * @param evacuations the evacuated data centres
 */
public record OperatorState(RouteTable routes, Evacuations evacuations) {}
