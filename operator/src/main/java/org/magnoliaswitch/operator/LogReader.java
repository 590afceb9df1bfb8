package org.magnoliaswitch.operator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses the log lines that instances write to standard output.
 *
 * <p>A log collector may prefix each line with its own time in seconds and with the name of the
 * process. The prefix takes precedence over the time in the line, because the wall clock of a
 * machine may jump. Without a prefix, the file name is used as the name of the process.
 */
final class LogReader {
  /** File name that stands for standard input. */
  static final String STANDARD_INPUT = "-";

  private static final Pattern LINE =
      Pattern.compile(
          "^\\s*(?:(-?\\d+\\.\\d+)\\s+)?(?:(\\S+)\\s+)?(time=(\\S+) .*\\bevent=(\\S+).*)$");
  private static final Pattern PAIR = Pattern.compile("(\\w+)=(\"[^\"]*\"|\\S*)");
  private static final double MICROS_PER_SECOND = 1e6;

  private LogReader() {}

  /** Returns the events in the given files, in the order of their lines. */
  static List<TimelineEntry> read(List<String> files) throws IOException {
    List<TimelineEntry> entries = new ArrayList<>();
    for (String file : files) {
      if (file.equals(STANDARD_INPUT)) {
        read(new InputStreamReader(System.in, StandardCharsets.UTF_8), "input", entries);
      } else {
        Path path = Path.of(file);
        String name = path.getFileName().toString().replaceFirst("\\.[^.]*$", "");
        try (Reader reader = Files.newBufferedReader(path)) {
          read(reader, name, entries);
        }
      }
    }
    return entries;
  }

  private static void read(Reader reader, String name, List<TimelineEntry> entries)
      throws IOException {
    BufferedReader lines = new BufferedReader(reader);
    String line = lines.readLine();
    while (line != null) {
      parse(line, name).ifPresent(entries::add);
      line = lines.readLine();
    }
  }

  /**
   * Parses the event in a line. Returns an empty result for lines of other programs.
   *
   * @param line line of a log
   * @param name name of the process, used if the line has no prefix
   */
  static Optional<TimelineEntry> parse(String line, String name) {
    Matcher matcher = LINE.matcher(line);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    Optional<Long> micros = micros(matcher.group(1), matcher.group(4));
    String instance = matcher.group(2) == null ? name : matcher.group(2);
    String text = matcher.group(3);
    return micros.map(
        time ->
            new TimelineEntry(
                time,
                instance,
                matcher.group(5),
                pairs(text),
                "instance=" + instance + " " + text));
  }

  private static Optional<Long> micros(String collectorTime, String lineTime) {
    if (collectorTime != null) {
      return Optional.of(Math.round(Double.parseDouble(collectorTime) * MICROS_PER_SECOND));
    }
    try {
      Instant time = Instant.parse(lineTime);
      return Optional.of(time.getEpochSecond() * 1_000_000 + time.getNano() / 1_000);
    } catch (DateTimeException e) {
      // A line of another program that happens to match the pattern.
      return Optional.empty();
    }
  }

  private static Map<String, String> pairs(String text) {
    Map<String, String> pairs = new HashMap<>();
    Matcher matcher = PAIR.matcher(text);
    while (matcher.find()) {
      pairs.putIfAbsent(matcher.group(1), matcher.group(2));
    }
    return pairs;
  }
}
