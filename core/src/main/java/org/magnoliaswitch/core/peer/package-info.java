/** Messages between entry instances and the framed TCP transport that carries them. */
@NullMarked
package org.magnoliaswitch.core.peer;

import org.jspecify.annotations.NullMarked;
