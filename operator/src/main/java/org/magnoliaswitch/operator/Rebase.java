package org.magnoliaswitch.operator;

import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/** Plans a change again on top of another one that came first. */
final class Rebase {
  private static final int FAILED = 1;

  private Rebase() {}

  /**
   * Applies the difference from base to wanted onto what the other change left.
   *
   * @throws OperatorException when both changed the same declaration; it is never merged in silence
   */
  static SortedMap<String, String> onto(
      Map<String, String> base, Map<String, String> wanted, Map<String, String> other)
      throws OperatorException {
    SortedMap<String, String> result = new TreeMap<>(other);
    TreeSet<String> paths = new TreeSet<>(base.keySet());
    paths.addAll(wanted.keySet());
    for (String path : paths) {
      boolean changedHere = !Objects.equals(base.get(path), wanted.get(path));
      boolean changedThere = !Objects.equals(base.get(path), other.get(path));
      if (changedHere && changedThere && !Objects.equals(wanted.get(path), other.get(path))) {
        throw new OperatorException(FAILED, "cannot rebase: both changes touch " + path);
      }
      if (changedHere && wanted.containsKey(path)) {
        result.put(path, wanted.get(path));
      } else if (changedHere) {
        result.remove(path);
      }
    }
    return result;
  }
}
