/** What lives as long as a connection: to a caller or to a backend server. */
@NullMarked
package org.magnoliaswitch.front.connection;

import org.jspecify.annotations.NullMarked;
