/**
 * Handling of one request: deadlines, outcomes, selection of a backend server, admission and
 * retries.
 */
@NullMarked
package org.magnoliaswitch.core.request;

import org.jspecify.annotations.NullMarked;
