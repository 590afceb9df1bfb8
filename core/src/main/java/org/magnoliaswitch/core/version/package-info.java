/**
 * The contents of a configuration version: profiles, services and manifests, their parsing,
 * validation and comparison. A value of this package lives as long as the version.
 */
@NullMarked
package org.magnoliaswitch.core.version;

import org.jspecify.annotations.NullMarked;
