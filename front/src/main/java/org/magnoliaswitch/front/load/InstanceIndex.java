package org.magnoliaswitch.front.load;

/**
 * The place of an instance among all that listen to one seed; no two of them have the same.
 *
 * <p>Instances do not know each other. With places, a number of them is drawn exactly and without a
 * word: each works out by itself whether it is one of them.
 *
 * @param index place of this instance, from 0
 * @param count how many places there are, those of instances that left and were not replaced
 *     included
 */
public record InstanceIndex(int index, int count) {
  public InstanceIndex {
    if (index < 0 || index >= count) {
      throw new IllegalArgumentException(
          "instance index " + index + " is negative or not less than the instance count " + count);
    }
  }

  /**
   * Whether this instance is one of a number of them drawn for a name. One place more or less
   * changes a draw by one instance at most, so those that do not know of it yet draw nearly the
   * same.
   */
  public boolean selected(String name, int selectedCount) {
    long own = NameHash.of(String.valueOf(index), name);
    int before = 0;
    for (int other = 0; other < count && before < selectedCount; other++) {
      if (other != index && NameHash.of(String.valueOf(other), name) > own) {
        before++;
      }
    }
    return before < selectedCount;
  }
}
