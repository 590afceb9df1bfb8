/** Evaluates experiments: writes a table, a JSON summary, plots and a summary line for each. */
@NullMarked
package org.magnoliaswitch.bench.report;

import org.jspecify.annotations.NullMarked;
