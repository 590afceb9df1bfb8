/** What lives as long as the process: news, readiness, stop, logs, metrics, wiring. */
@NullMarked
package org.magnoliaswitch.front.process;

import org.jspecify.annotations.NullMarked;
