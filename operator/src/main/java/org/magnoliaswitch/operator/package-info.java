/** Command line tools for operators: {@code magnoliactl} and {@code magnolia-timeline}. */
@NullMarked
package org.magnoliaswitch.operator;

import org.jspecify.annotations.NullMarked;
