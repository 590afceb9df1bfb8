/** The load tool, which generates open-loop load and checks the answers. */
@NullMarked
package org.magnoliaswitch.bench;

import org.jspecify.annotations.NullMarked;
