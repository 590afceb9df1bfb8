/**
 * A discrete-event simulation of callers, instances and backend servers. It runs the decision code
 * of the front, so that a load pattern can be replayed in a second and compared with simpler
 * policies and with an ideal policy.
 */
@NullMarked
package org.magnoliaswitch.bench.model;

import org.jspecify.annotations.NullMarked;
