package org.magnoliaswitch.operator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.magnoliaswitch.core.version.InvalidDeclarationException;
import org.magnoliaswitch.core.version.SnapshotParser;

/** Reads the declarations from a directory that is under version control. */
public final class DeclarationDirectory {
  private static final List<String> SUBDIRECTORIES = List.of("profiles", "services");
  private static final int EXIT_USAGE = 2;

  private DeclarationDirectory() {}

  /** Reads all declarations and returns their text by their path relative to the directory. */
  public static SortedMap<String, String> read(Path directory) throws OperatorException {
    SortedMap<String, String> parts = new TreeMap<>();
    for (String name : SUBDIRECTORIES) {
      Path subdirectory = directory.resolve(name);
      try (Stream<Path> files = Files.list(subdirectory)) {
        for (Path file : files.filter(f -> f.toString().endsWith(".json")).toList()) {
          parts.put(name + '/' + file.getFileName(), Files.readString(file));
        }
      } catch (IOException e) {
        throw new OperatorException(EXIT_USAGE, "cannot read " + subdirectory + ": " + e);
      }
    }
    return parts;
  }

  /** Validates declarations in the same way as an instance does. */
  public static void check(Map<String, String> parts) throws OperatorException {
    try {
      SnapshotParser.parse(1, "", bytes(parts));
    } catch (InvalidDeclarationException e) {
      throw new OperatorException(EXIT_USAGE, e.getMessage());
    }
  }

  /** Encodes the declarations in UTF-8. */
  public static Map<String, byte[]> bytes(Map<String, String> parts) {
    Map<String, byte[]> bytes = new TreeMap<>();
    parts.forEach((path, text) -> bytes.put(path, text.getBytes(StandardCharsets.UTF_8)));
    return bytes;
  }
}
