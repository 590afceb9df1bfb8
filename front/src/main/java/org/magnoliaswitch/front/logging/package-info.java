/** Logging to standard output that neither blocks requests nor slows down the start. */
@NullMarked
package org.magnoliaswitch.front.logging;

import org.jspecify.annotations.NullMarked;
