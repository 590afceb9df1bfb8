/** Small stand-ins for backend servers and the platform, for tests and experiments only. */
@NullMarked
package org.magnoliaswitch.standins;

import org.jspecify.annotations.NullMarked;
