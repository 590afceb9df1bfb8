package org.magnoliaswitch.core.process;

import org.magnoliaswitch.core.platform.InstanceList;
import org.magnoliaswitch.core.platform.ObjectStore;
import org.magnoliaswitch.core.platform.PlatformTable;

/**
 * Clients of the platform's services.
 *
 * @param table transactional table
 * @param objects object store
 * @param instances list of instances, which may lag
 */
public record Platform(PlatformTable table, ObjectStore objects, InstanceList instances) {}
