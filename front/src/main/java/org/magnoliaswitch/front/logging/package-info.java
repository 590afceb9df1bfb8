/** How log lines leave the process: without blocking it, and without a slow set-up. */
@NullMarked
package org.magnoliaswitch.front.logging;

import org.jspecify.annotations.NullMarked;
