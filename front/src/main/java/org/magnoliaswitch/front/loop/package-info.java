/** Event loops and channel operations, with failures of tasks logged. */
@NullMarked
package org.magnoliaswitch.front.loop;

import org.jspecify.annotations.NullMarked;
