/** Processing of a request of a caller, from its arrival to its final response. */
@NullMarked
package org.magnoliaswitch.front.request;

import org.jspecify.annotations.NullMarked;
