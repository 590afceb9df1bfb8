package org.magnoliaswitch.core.platform;

import java.util.List;

/** The platform's list of running and leaving instances. It may lag behind the actual state. */
public interface InstanceList {
  /** An entry instance or a backend server in the list. */
  record ListedInstance(String id, boolean leaving) {}

  /** Reads the current list. */
  List<ListedInstance> list() throws PlatformException;
}
