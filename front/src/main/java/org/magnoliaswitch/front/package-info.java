/** The instance that serves callers on small machines. */
@NullMarked
package org.magnoliaswitch.front;

import org.jspecify.annotations.NullMarked;
