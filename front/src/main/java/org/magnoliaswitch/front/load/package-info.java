/**
 * Decisions under load, free of input and output: placement, refusal, budgets. Time is passed in.
 */
@NullMarked
package org.magnoliaswitch.front.load;

import org.jspecify.annotations.NullMarked;
