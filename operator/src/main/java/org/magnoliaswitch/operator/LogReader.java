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
 * Reads the lines that instances write to standard output.
 *
 * <p>A collector may have put its own time in seconds and the process' name before each line; then
 * these count, since the time of day of a machine may jump. Otherwise the file's name is the
 * process'.
 */
final class LogReader {
  /** Standard input instead of a file. */
  static final String STANDARD_INPUT = "-";

  private static final Pattern LINE =
      Pattern.compile(
          "^\\s*(?:(-?\\d+\\.\\d+)\\s+)?(?:(\\S+)\\s+)?(time=(\\S+) .*\\bevent=(\\S+).*)$");
  private static final Pattern PAIR = Pattern.compile("(\\w+)=(\"[^\"]*\"|\\S*)");
  private static final double MICROS_PER_SECOND = 1e6;

  private LogReader() {}

  /** The events in files, in the order of their lines. */
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

  /** The event in a line; lines of other programs tell none. */
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

  private static Optional<Long> micros(String collected, String own) {
    if (collected != null) {
      return Optional.of(Math.round(Double.parseDouble(collected) * MICROS_PER_SECOND));
    }
    try {
      Instant time = Instant.parse(own);
      return Optional.of(time.getEpochSecond() * 1_000_000 + time.getNano() / 1_000);
    } catch (DateTimeException e) {
      // Another program's line that happens to look alike.
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
