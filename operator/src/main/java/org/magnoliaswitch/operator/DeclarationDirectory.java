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

/** Reads the declarations of a directory kept in version control. */
public final class DeclarationDirectory {
  private static final List<String> PARTS = List.of("profiles", "services");
  private static final int USAGE = 2;

  private DeclarationDirectory() {}

  /** Reads all declarations, path to text. */
  public static SortedMap<String, String> read(Path directory) throws OperatorException {
    SortedMap<String, String> parts = new TreeMap<>();
    for (String part : PARTS) {
      Path folder = directory.resolve(part);
      try (Stream<Path> files = Files.list(folder)) {
        for (Path file : files.filter(f -> f.toString().endsWith(".json")).toList()) {
          parts.put(part + '/' + file.getFileName(), Files.readString(file));
        }
      } catch (IOException e) {
        throw new OperatorException(USAGE, "cannot read " + folder + ": " + e);
      }
    }
    return parts;
  }

  /** Checks declarations as an instance would. */
  public static void check(Map<String, String> parts) throws OperatorException {
    try {
      SnapshotParser.parse(1, "", bytes(parts));
    } catch (InvalidDeclarationException e) {
      throw new OperatorException(USAGE, e.getMessage());
    }
  }

  /** The declarations as bytes. */
  public static Map<String, byte[]> bytes(Map<String, String> parts) {
    Map<String, byte[]> bytes = new TreeMap<>();
    parts.forEach((path, text) -> bytes.put(path, text.getBytes(StandardCharsets.UTF_8)));
    return bytes;
  }
}
