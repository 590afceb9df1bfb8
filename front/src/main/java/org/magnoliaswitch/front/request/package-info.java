/** What lives as long as one request of a caller. */
@NullMarked
package org.magnoliaswitch.front.request;

import org.jspecify.annotations.NullMarked;
