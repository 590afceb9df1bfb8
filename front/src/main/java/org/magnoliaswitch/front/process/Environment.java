package org.magnoliaswitch.front.process;

import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.process.CrashWatch;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.version.HeaderNames;
import org.magnoliaswitch.front.version.RouteTable;

/**
 * The parts of a process that every request needs.
 *
 * @param settings what this instance was told at its start
 * @param loop the thread of all requests and their connections
 * @param routes configuration in force, swapped as a whole
 * @param routesFreshness how long ago that configuration was known to be the newest
 * @param servers backend servers
 * @param routeState what outlives a configuration version
 * @param instances how many instances serve, as far as known
 * @param quotas what may be sent to servers that take few requests
 * @param notices what servers ask of their callers
 * @param crashes requests under which servers end
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
    CrashWatch crashes) {}
