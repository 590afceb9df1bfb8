/**
 * State and services that live as long as the process: timeline, membership, configuration, load of
 * the servers, admission, crash reports and the records of outcomes.
 */
@NullMarked
package org.magnoliaswitch.core.process;

import org.jspecify.annotations.NullMarked;
