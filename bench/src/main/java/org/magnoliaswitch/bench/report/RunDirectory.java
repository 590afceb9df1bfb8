package org.magnoliaswitch.bench.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.magnoliaswitch.bench.LoadResult;
import org.magnoliaswitch.core.version.Json;

/** The output directory of an experiment. */
final class RunDirectory {
  private static final Pattern RUN_FILE_NAME =
      Pattern.compile("(.+)-([0-9]+(?:\\.[0-9]+)?)-([0-9]+)\\.json");

  private final Path directory;

  RunDirectory(Path directory) {
    this.directory = directory;
  }

  /**
   * One run of the load tool.
   *
   * @param variant compared variant, such as a policy
   * @param level request rate, or share or multiple of the capacity
   * @param repeat number of the repetition
   * @param result result of the load tool
   */
  record Run(String variant, double level, int repeat, LoadResult result) {}

  /** Returns all runs whose file names have the form {@code variant-level-repeat.json}. */
  List<Run> runs() throws IOException {
    List<Run> runs = new ArrayList<>();
    try (Stream<Path> files = Files.list(directory)) {
      for (Path file : files.sorted().toList()) {
        Matcher matcher = RUN_FILE_NAME.matcher(file.getFileName().toString());
        if (matcher.matches() && !file.toString().endsWith(".scenario.json")) {
          runs.add(
              new Run(
                  matcher.group(1),
                  Double.parseDouble(matcher.group(2)),
                  Integer.parseInt(matcher.group(3)),
                  Json.MAPPER.readValue(file.toFile(), LoadResult.class)));
        }
      }
    }
    return runs;
  }

  List<String> lines(String name) throws IOException {
    Path file = directory.resolve(name);
    return Files.exists(file) ? Files.readAllLines(file) : List.of();
  }

  JsonNode json(String name) throws IOException {
    return Json.MAPPER.readTree(directory.resolve(name).toFile());
  }

  boolean has(String name) {
    return Files.exists(directory.resolve(name));
  }

  LoadResult result(String name) throws IOException {
    return Json.MAPPER.readValue(directory.resolve(name).toFile(), LoadResult.class);
  }

  /** Writes the summary of the experiment as JSON. */
  void summary(Object value) throws IOException {
    Files.write(
        directory.resolve("summary.json"),
        Json.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsBytes(value));
  }

  Path file(String name) {
    return directory.resolve(name);
  }
}
