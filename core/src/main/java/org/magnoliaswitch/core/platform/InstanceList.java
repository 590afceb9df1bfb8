package org.magnoliaswitch.core.platform;

import java.util.List;

/** The platform's lagging list of live and leaving machines. */
public interface InstanceList {
  /** One listed machine: entry instance or backend server. */
  record ListedMachine(String id, boolean leaving) {}

  /** The list as the platform now shows it. */
  List<ListedMachine> list() throws PlatformException;
}
