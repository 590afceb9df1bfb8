package org.magnoliaswitch.front.request;

import org.magnoliaswitch.front.load.Chance;
import org.magnoliaswitch.front.version.Route;

/**
 * What a request wants of a server at the moment of a search.
 *
 * @param route how it is treated
 * @param service whose servers may get it
 * @param chance whether it can be in time
 * @param allowedNanos time until an answer loses most of the value that it can still have
 */
record Wanted(Route route, String service, Chance chance, long allowedNanos) {}
