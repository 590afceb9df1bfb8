/**
 * Decisions under load: placement, refusal and budgets. The package performs no I/O, and time is
 * passed in as a parameter.
 */
@NullMarked
package org.magnoliaswitch.front.load;

import org.jspecify.annotations.NullMarked;
