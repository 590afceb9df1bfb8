/** The entry process: HTTP listeners for callers and operators on top of the core library. */
@NullMarked
package org.magnoliaswitch.entry;

import org.jspecify.annotations.NullMarked;
