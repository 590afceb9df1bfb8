/** Data of a configuration or discovery version: routes, services, limits, servers. */
@NullMarked
package org.magnoliaswitch.front.version;

import org.jspecify.annotations.NullMarked;
