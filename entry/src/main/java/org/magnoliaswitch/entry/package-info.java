/** The entry process: listeners for callers, operators and peers around the library. */
@NullMarked
package org.magnoliaswitch.entry;

import org.jspecify.annotations.NullMarked;
