/** Evaluation of experiments: tables, JSON, plots and the closing line of each. */
@NullMarked
package org.magnoliaswitch.bench.report;

import org.jspecify.annotations.NullMarked;
