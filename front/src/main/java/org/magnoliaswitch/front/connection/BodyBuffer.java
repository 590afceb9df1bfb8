package org.magnoliaswitch.front.connection;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * The body of one message while it is received. Its capacity is reserved in a {@link BodyMemory}
 * before it is allocated, including both copies while it grows. Not thread-safe.
 */
final class BodyBuffer {
  private static final byte[] NONE = new byte[0];

  /** First capacity of a body whose length is not known. */
  private static final int INITIAL_BYTES = 4 << 10;

  private final BodyMemory memory;
  private byte[] bytes = NONE;
  private int length;
  private int expected;

  BodyBuffer(BodyMemory memory) {
    this.memory = memory;
  }

  /**
   * Starts a body whose length is known, and reserves all of it; returns false if it cannot be
   * held.
   */
  boolean expect(int contentLength) {
    discard();
    if (!memory.reserveBody(contentLength)) {
      return false;
    }
    expected = contentLength;
    return true;
  }

  /** Appends a part of the body; returns false if it cannot be held. */
  boolean append(ByteBuf part) {
    int needed = length + part.readableBytes();
    if (needed > bytes.length && !grow(needed)) {
      return false;
    }
    part.readBytes(bytes, length, part.readableBytes());
    length = needed;
    return true;
  }

  /** Number of bytes received so far. */
  int length() {
    return length;
  }

  /**
   * Cuts the buffer to the length of the complete body; returns false if the copy cannot be held.
   * Nothing is copied if the length was known.
   */
  boolean trim() {
    if (length == capacity()) {
      return true;
    }
    if (!memory.reserveBody(length)) {
      return false;
    }
    byte[] copy = Arrays.copyOf(bytes, length);
    discard();
    bytes = copy;
    length = copy.length;
    return true;
  }

  /**
   * Returns the complete body after {@link #trim}. The caller of this method takes over the
   * reservation of as many bytes as the array has.
   */
  byte[] take() {
    byte[] complete = bytes;
    bytes = NONE;
    length = 0;
    expected = 0;
    return complete;
  }

  /** Returns the complete body after {@link #trim}, and no longer counts it as held. */
  byte[] takeUncounted() {
    byte[] complete = take();
    memory.release(complete.length);
    return complete;
  }

  /** Drops what has been received and releases its memory. */
  void discard() {
    long held = capacity();
    bytes = NONE;
    length = 0;
    expected = 0;
    memory.release(held);
  }

  private boolean grow(int needed) {
    if (needed <= expected) {
      bytes = new byte[expected];
      return true;
    }
    long held = capacity();
    int capacity = (int) Math.min(Integer.MAX_VALUE, Math.max(INITIAL_BYTES, 2L * needed));
    if (!memory.reserveBody(capacity)) {
      return false;
    }
    bytes = Arrays.copyOf(bytes, capacity);
    expected = 0;
    memory.release(held);
    return true;
  }

  /** Reserved bytes: those of the array, or of the one that is allocated with the first part. */
  private long capacity() {
    return Math.max(bytes.length, expected);
  }
}
