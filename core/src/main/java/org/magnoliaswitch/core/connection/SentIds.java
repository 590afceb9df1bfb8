package org.magnoliaswitch.core.connection;

import java.util.Arrays;

/**
 * The ids of the requests that a connection has carried, as hashes: ids of one hash count as one,
 * which costs a connection at most.
 */
public final class SentIds {
  /** Bounds the memory of a connection, 4 KB, and the time of a search. */
  private static final int MAX_IDS = 1_000;

  private static final int INITIAL_IDS = 8;

  private int[] hashes = new int[INITIAL_IDS];
  private int count;

  /** Whether the connection has carried no request with an id. */
  public boolean isEmpty() {
    return count == 0;
  }

  /** Whether no further id can be added. */
  public boolean isFull() {
    return count == MAX_IDS;
  }

  /** Whether the connection has carried a request with the id. */
  public boolean contains(String id) {
    int hash = id.hashCode();
    for (int i = 0; i < count; i++) {
      if (hashes[i] == hash) {
        return true;
      }
    }
    return false;
  }

  /** Adds the id of a request that the connection is about to carry. */
  public void add(String id) {
    if (isFull()) {
      throw new IllegalStateException("the connection has carried " + MAX_IDS + " requests");
    }
    if (count == hashes.length) {
      hashes = Arrays.copyOf(hashes, Math.min(MAX_IDS, 2 * count));
    }
    hashes[count++] = id.hashCode();
  }
}
