package org.magnoliaswitch.core.platform;

import java.util.Optional;

/** The platform's object store. */
public interface ObjectStore {
  /** Reads an object; empty if it does not exist. */
  Optional<byte[]> get(String name) throws PlatformException;

  /** Stores an object. The operation is idempotent for the same name and content. */
  void put(String name, byte[] content) throws PlatformException;
}
