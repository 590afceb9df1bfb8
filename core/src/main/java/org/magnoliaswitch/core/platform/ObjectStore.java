package org.magnoliaswitch.core.platform;

import java.util.Optional;

/** The platform's object store. */
public interface ObjectStore {
  /** Reads an object. */
  Optional<byte[]> get(String name) throws PlatformException;

  /** Stores an object; repeating the same content under the same name is harmless. */
  void put(String name, byte[] content) throws PlatformException;
}
