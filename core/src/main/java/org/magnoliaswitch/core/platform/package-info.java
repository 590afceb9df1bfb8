/**
 * Interfaces to the platform's table service, object store and instance list, with an HTTP client.
 */
@NullMarked
package org.magnoliaswitch.core.platform;

import org.jspecify.annotations.NullMarked;
