package org.magnoliaswitch.core.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Computes the differences between two sets of declarations, by part and by JSON path. */
public final class ConfigurationDiff {
  private ConfigurationDiff() {}

  /** Returns the paths of all parts that were added, removed or whose digests differ. */
  public static Set<String> changedParts(Map<String, String> before, Map<String, String> after) {
    Set<String> changed = new TreeSet<>(before.keySet());
    changed.addAll(after.keySet());
    changed.removeIf(path -> before.containsKey(path) && before.get(path).equals(after.get(path)));
    return changed;
  }

  /**
   * Returns a line per difference: {@code + added}, {@code - removed}, {@code ~ path: old -> new}.
   */
  public static List<String> lines(Map<String, byte[]> before, Map<String, byte[]> after) {
    List<String> lines = new ArrayList<>();
    Set<String> paths = new TreeSet<>(before.keySet());
    paths.addAll(after.keySet());
    for (String path : paths) {
      if (!before.containsKey(path)) {
        lines.add("+ " + path);
      } else if (!after.containsKey(path)) {
        lines.add("- " + path);
      } else {
        compare(
            path, JsonPaths.flatten(before.get(path)), JsonPaths.flatten(after.get(path)), lines);
      }
    }
    return lines;
  }

  private static void compare(
      String file, Map<String, String> before, Map<String, String> after, List<String> lines) {
    Map<String, String> all = new TreeMap<>(before);
    all.putAll(after);
    for (String path : all.keySet()) {
      String old = before.getOrDefault(path, "(absent)");
      String now = after.getOrDefault(path, "(absent)");
      if (!old.equals(now)) {
        lines.add("~ " + file + ": " + path + ": " + old + " -> " + now);
      }
    }
  }
}
