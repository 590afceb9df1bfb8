/**
 * Tracks requests during which backend servers crash, and decides how to handle them. The package
 * performs no I/O and reads no clock.
 */
@NullMarked
package org.magnoliaswitch.core.crash;

import org.jspecify.annotations.NullMarked;
