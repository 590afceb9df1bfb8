package org.magnoliaswitch.front.request;

import org.magnoliaswitch.front.load.Timeliness;
import org.magnoliaswitch.front.version.Route;

/**
 * What a request wants of a server at the moment of a search.
 *
 * @param route how it is treated
 * @param service whose servers may get it
 * @param timeliness whether it can be in time
 * @param allowedNanos time until an answer loses most of the value that it can still have
 */
record ServerQuery(Route route, String service, Timeliness timeliness, long allowedNanos) {}
