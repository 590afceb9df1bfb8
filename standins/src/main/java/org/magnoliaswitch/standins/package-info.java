/** Simulated backend servers and a simulated platform, for tests and experiments only. */
@NullMarked
package org.magnoliaswitch.standins;

import org.jspecify.annotations.NullMarked;
