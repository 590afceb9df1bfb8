package org.magnoliaswitch.operator;

import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/** Reapplies a change on top of another one that was accepted first. */
final class Rebase {
  private static final int EXIT_FAILURE = 1;

  private Rebase() {}

  /**
   * Applies the difference between base and wanted to the declarations after the other change.
   *
   * @param base declarations before both changes
   * @param wanted declarations after the change to reapply
   * @param other declarations after the other change
   * @throws OperatorException if both changes modify the same declaration in different ways, since
   *     such changes must not be merged silently
   */
  static SortedMap<String, String> onto(
      Map<String, String> base, Map<String, String> wanted, Map<String, String> other)
      throws OperatorException {
    SortedMap<String, String> rebased = new TreeMap<>(other);
    TreeSet<String> paths = new TreeSet<>(base.keySet());
    paths.addAll(wanted.keySet());
    for (String path : paths) {
      boolean changedByThis = !Objects.equals(base.get(path), wanted.get(path));
      boolean changedByOther = !Objects.equals(base.get(path), other.get(path));
      if (changedByThis && changedByOther && !Objects.equals(wanted.get(path), other.get(path))) {
        throw new OperatorException(EXIT_FAILURE, "cannot rebase: both changes modify " + path);
      }
      if (changedByThis && wanted.containsKey(path)) {
        rebased.put(path, wanted.get(path));
      } else if (changedByThis) {
        rebased.remove(path);
      }
    }
    return rebased;
  }
}
