package org.magnoliaswitch.front.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * The named elements that a later version changes or no longer has.
 *
 * @param changed elements that were added or modified
 * @param removed names of the elements that the later version lacks
 */
record Difference<T>(List<T> changed, Set<String> removed) {
  Difference {
    changed = List.copyOf(changed);
    removed = Set.copyOf(removed);
  }

  /** Returns the difference, given the names of the elements that differ. */
  static <T> Difference<T> of(Map<String, T> after, Collection<String> names) {
    List<T> changed = new ArrayList<>();
    Set<String> removed = new HashSet<>();
    for (String name : names) {
      T element = after.get(name);
      if (element == null) {
        removed.add(name);
      } else {
        changed.add(element);
      }
    }
    return new Difference<>(changed, removed);
  }

  /** Returns the names of the elements that differ or exist in only one of the versions. */
  static <T> Set<String> names(
      Map<String, T> before, Collection<T> after, Function<T, String> nameOf) {
    Map<String, T> remaining = new HashMap<>(before);
    Set<String> names = new HashSet<>();
    for (T element : after) {
      String name = nameOf.apply(element);
      if (!element.equals(remaining.remove(name))) {
        names.add(name);
      }
    }
    names.addAll(remaining.keySet());
    return names;
  }
}
