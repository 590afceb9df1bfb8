/**
 * What lives for the whole process: clocks, time line, membership, load state and the store of
 * outcomes.
 */
@NullMarked
package org.magnoliaswitch.core.process;

import org.jspecify.annotations.NullMarked;
