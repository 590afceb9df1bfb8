/**
 * Components that live as long as the process: state synchronization, readiness, shutdown, event
 * log, metrics.
 */
@NullMarked
package org.magnoliaswitch.front.process;

import org.jspecify.annotations.NullMarked;
