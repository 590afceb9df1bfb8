/** What operators' tools and instances say to each other. */
@NullMarked
package org.magnoliaswitch.core.operator;

import org.jspecify.annotations.NullMarked;
