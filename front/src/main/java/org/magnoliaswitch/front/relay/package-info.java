/** Connections to backend servers that are opened through other instances. */
@NullMarked
package org.magnoliaswitch.front.relay;

import org.jspecify.annotations.NullMarked;
