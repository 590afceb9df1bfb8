/** Ports to the platform's table service, object store and instance list, with an HTTP adapter. */
@NullMarked
package org.magnoliaswitch.core.platform;

import org.jspecify.annotations.NullMarked;
