/**
 * What lives for one connection to a backend server: pooling, exchanges and detection of silent
 * connections.
 */
@NullMarked
package org.magnoliaswitch.core.connection;

import org.jspecify.annotations.NullMarked;
