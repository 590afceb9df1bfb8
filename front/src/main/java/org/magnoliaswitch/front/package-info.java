/** An instance of the load balancer that serves callers and runs on small machines. */
@NullMarked
package org.magnoliaswitch.front;

import org.jspecify.annotations.NullMarked;
