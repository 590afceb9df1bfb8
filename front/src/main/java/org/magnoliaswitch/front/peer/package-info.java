/** News between instances: configuration, servers and how fresh they are; TCP with MessagePack. */
@NullMarked
package org.magnoliaswitch.front.peer;

import org.jspecify.annotations.NullMarked;
