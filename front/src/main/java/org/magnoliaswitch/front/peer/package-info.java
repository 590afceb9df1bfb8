/**
 * Exchange of state between instances: configuration, servers, crash reports and their age, as
 * MessagePack messages over TCP.
 */
@NullMarked
package org.magnoliaswitch.front.peer;

import org.jspecify.annotations.NullMarked;
