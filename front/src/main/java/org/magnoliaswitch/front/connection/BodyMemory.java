package org.magnoliaswitch.front.connection;

/**
 * Memory for message bodies that the connections of one event loop hold; what would exceed the
 * limit is rejected. Holders reserve the capacity of their buffers before they allocate them, and
 * release it after they have dropped them. Used by one thread.
 */
final class BodyMemory {
  /** Largest body that may use the part of the memory kept for small ones. */
  private static final long MAX_SMALL_BYTES = 64 << 10;

  /** Kept for small bodies, so that a few large ones do not reject all other requests. */
  private static final long SMALL_RESERVE_BYTES = 1 << 20;

  private final long limitBytes;
  private long reservedBytes;

  /**
   * Creates a memory of which nothing is reserved.
   *
   * @param limitBytes total capacity of all buffers
   */
  BodyMemory(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Reserves memory for a body; returns false, and reserves nothing, if the limit would be
   * exceeded. Large bodies leave a part of the memory to small ones.
   */
  boolean reserveBody(long bytes) {
    long left = bytes > MAX_SMALL_BYTES ? SMALL_RESERVE_BYTES : 0;
    return reservedBytes + bytes + left <= limitBytes && reserve(bytes);
  }

  /** Reserves memory; returns false, and reserves nothing, if the limit would be exceeded. */
  boolean reserve(long bytes) {
    if (reservedBytes + bytes > limitBytes) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  /** Releases memory that was reserved. */
  void release(long bytes) {
    reservedBytes -= bytes;
  }

  /** Capacity of the buffers held now, in bytes. */
  long reservedBytes() {
    return reservedBytes;
  }
}
