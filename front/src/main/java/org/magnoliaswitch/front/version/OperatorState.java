package org.magnoliaswitch.front.version;

/**
 * What operators have declared, as of one read.
 *
 * @param routes the configuration, or {@link RouteTable#EMPTY} when it has not changed
 * @param evacuations the evacuated data centres
 */
public record OperatorState(RouteTable routes, Evacuations evacuations) {}
