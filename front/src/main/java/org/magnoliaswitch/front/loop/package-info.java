/** Event loops and channels of the process, with failures of their tasks logged. */
@NullMarked
package org.magnoliaswitch.front.loop;

import org.jspecify.annotations.NullMarked;
