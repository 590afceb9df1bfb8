/**
 * Measures the cost of the control plane with many instances in one process, using the production
 * code and real sockets.
 */
@NullMarked
package org.magnoliaswitch.bench.scale;

import org.jspecify.annotations.NullMarked;
