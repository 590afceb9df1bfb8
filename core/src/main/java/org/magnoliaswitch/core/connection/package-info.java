/** Connections to backend servers: pooling and detection of silent connections. */
@NullMarked
package org.magnoliaswitch.core.connection;

import org.jspecify.annotations.NullMarked;
