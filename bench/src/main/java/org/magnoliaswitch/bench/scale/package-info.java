/** Control at many instances: real code and sockets, all in one process. */
@NullMarked
package org.magnoliaswitch.bench.scale;

import org.jspecify.annotations.NullMarked;
