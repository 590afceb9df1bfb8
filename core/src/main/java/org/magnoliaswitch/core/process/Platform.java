package org.magnoliaswitch.core.process;

import org.magnoliaswitch.core.platform.InstanceList;
import org.magnoliaswitch.core.platform.ObjectStore;
import org.magnoliaswitch.core.platform.PlatformTable;

/**
 * The platform's services as this process reaches them.
 *
 * @param table transactional table
 * @param objects object store
 * @param instances lagging list of machines
 */
public record Platform(PlatformTable table, ObjectStore objects, InstanceList instances) {}
