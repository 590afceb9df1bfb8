/** Connections to callers and to backend servers, with the state that lives as long as they do. */
@NullMarked
package org.magnoliaswitch.front.connection;

import org.jspecify.annotations.NullMarked;
