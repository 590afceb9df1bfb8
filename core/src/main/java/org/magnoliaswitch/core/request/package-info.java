/**
 * What lives for one request: deadlines, outcomes, the choice of a backend server, admission and
 * retries.
 */
@NullMarked
package org.magnoliaswitch.core.request;

import org.jspecify.annotations.NullMarked;
