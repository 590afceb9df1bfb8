/** The clocks of a process: wall clock, monotonic clock and hybrid logical clock. */
@NullMarked
package org.magnoliaswitch.core.clock;

import org.jspecify.annotations.NullMarked;
