package org.magnoliaswitch.front.request;

import org.magnoliaswitch.front.load.TeamStanding;
import org.magnoliaswitch.front.load.Timeliness;
import org.magnoliaswitch.front.version.Route;

/**
 * The requirements of a request on its server, at the time of a search.
 *
 * @param route route of the request
 * @param service service whose servers may get the request
 * @param timeliness whether a response can still be in time
 * @param standing whether the request's team asks for more than its rate
 * @param allowedNanos time until a response loses most of the value that it can still have
 */
record ServerQuery(
    Route route, String service, Timeliness timeliness, TeamStanding standing, long allowedNanos) {}
