/**
 * Messages between operators' tools and instances, and the service that accepts configuration
 * changes.
 */
@NullMarked
package org.magnoliaswitch.core.operator;

import org.jspecify.annotations.NullMarked;
