package org.magnoliaswitch.front.process;

import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.process.CrashWatch;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.version.HeaderNames;
import org.magnoliaswitch.front.version.RouteTable;

/**
 * Components of an instance that every request uses.
 *
 * @param settings start-up settings of this instance
 * @param loop event loop of all requests and their connections
 * @param routes configuration in force, replaced atomically
 * @param routesFreshness when that configuration was last confirmed to be the newest
 * @param servers backend servers
 * @param routeState state of routes and services that outlives a configuration version
 * @param instances number of serving instances, as far as known
 * @param quotas limits on requests to servers that accept few
 * @param notices applies the backpressure notices of servers
 * @param crashes requests during which servers crash
 * @param confirmation when the configuration was last known for certain to be the newest
 * @param teamQuotas admits requests within the quotas of their teams
 */
public record Environment(
    FrontSettings settings,
    HeaderNames names,
    Clocks clocks,
    Loop loop,
    RandomGenerator random,
    AtomicReference<RouteTable> routes,
    Freshness routesFreshness,
    ServerDirectory servers,
    RouteState routeState,
    InstanceCount instances,
    ServerQuotas quotas,
    ServerNotices notices,
    EventLog log,
    FrontMetrics metrics,
    CrashWatch crashes,
    ConfigurationConfirmation confirmation,
    TeamQuotas teamQuotas) {}
