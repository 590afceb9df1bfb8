/** Clocks of a process: wall clock, monotonic ticker and the hybrid logical clock. */
@NullMarked
package org.magnoliaswitch.core.clock;

import org.jspecify.annotations.NullMarked;
