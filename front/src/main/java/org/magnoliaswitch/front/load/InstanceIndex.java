package org.magnoliaswitch.front.load;

/**
 * The index of an instance among all instances that listen to the same seed; each index is unique.
 *
 * <p>Instances do not coordinate. With indexes, an exact number of instances can be selected
 * without communication: each computes by itself whether it is selected.
 *
 * @param index index of this instance, from 0
 * @param count number of indexes, including those of instances that left and were not replaced
 */
public record InstanceIndex(int index, int count) {
  public InstanceIndex {
    if (index < 0 || index >= count) {
      throw new IllegalArgumentException(
          "instance index " + index + " is negative or not less than the instance count " + count);
    }
  }

  /**
   * Whether this instance is among the {@code selectedCount} instances that are selected for a
   * name. Adding or removing one index changes a selection by at most one instance, so instances
   * that do not know of the change yet select nearly the same set.
   */
  public boolean selected(String name, int selectedCount) {
    long ownHash = NameHash.of(String.valueOf(index), name);
    int rankedHigher = 0;
    for (int other = 0; other < count && rankedHigher < selectedCount; other++) {
      if (other != index && NameHash.of(String.valueOf(other), name) > ownHash) {
        rankedHigher++;
      }
    }
    return rankedHigher < selectedCount;
  }
}
