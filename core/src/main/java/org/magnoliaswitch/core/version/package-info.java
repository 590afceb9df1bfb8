/**
 * What lives as long as one configuration version: profiles, services, manifests, checks and
 * differences.
 */
@NullMarked
package org.magnoliaswitch.core.version;

import org.jspecify.annotations.NullMarked;
