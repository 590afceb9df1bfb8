/** The load tool and the programs that evaluate experiments. */
@NullMarked
package org.magnoliaswitch.bench;

import org.jspecify.annotations.NullMarked;
