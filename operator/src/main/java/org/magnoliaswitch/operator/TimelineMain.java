package org.magnoliaswitch.operator;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.magnoliaswitch.core.operator.InstanceStatus;
import org.magnoliaswitch.core.peer.Member;
import org.magnoliaswitch.core.process.TimelineEvent;
import org.magnoliaswitch.core.process.Version;
import org.magnoliaswitch.core.version.Json;

/**
 * Command line interface of {@code magnolia-timeline}, which merges the events of all instances.
 */
public final class TimelineMain {
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> entry =
      parser
          .accepts("entry", "URL of the operator port of any instance")
          .withRequiredArg()
          .defaultsTo("http://127.0.0.1:7101");
  private final OptionSpec<String> token =
      parser.accepts("token-file", "file with the bearer token of operators").withRequiredArg();
  private final OptionSpec<String> logs =
      parser
          .accepts("logs", "log files to read instead of querying instances; - for standard input")
          .withRequiredArg()
          .withValuesSeparatedBy(',');
  private final OptionSpec<String> format =
      parser
          .accepts("output", "output format: text, json or html")
          .withRequiredArg()
          .defaultsTo("text");
  private final OptionSpec<String> request =
      filter("request", "show only events of this request id");
  private final OptionSpec<String> server =
      filter("server", "show only events of this backend server");
  private final OptionSpec<String> service = filter("service", "show only events of this service");
  private final OptionSpec<String> kind = filter("kind", "show only this kind of event");
  private final OptionSpec<Long> from =
      parser
          .accepts("from", "earliest time in milliseconds since the epoch")
          .withRequiredArg()
          .ofType(Long.class)
          .defaultsTo(0L);
  private final OptionSpec<Long> to =
      parser
          .accepts("to", "latest time in milliseconds since the epoch")
          .withRequiredArg()
          .ofType(Long.class)
          .defaultsTo(Long.MAX_VALUE);
  private final OptionSpec<Void> summary =
      parser.accepts(
          "summary", "summarize the requests and slot time in --logs per service and second");
  private final OptionSpec<Void> help = parser.accepts("help", "print this help").forHelp();
  private final OptionSpec<Void> version = parser.accepts("version", "print the version").forHelp();

  private TimelineMain() {}

  /**
   * Prints the timeline. Exits with 0 on success, 1 on failure and 2 if the arguments are invalid.
   */
  public static void main(String[] arguments) throws IOException {
    System.exit(new TimelineMain().run(arguments));
  }

  private OptionSpec<String> filter(String name, String description) {
    return parser.accepts(name, description).withRequiredArg().defaultsTo("");
  }

  private int run(String[] arguments) throws IOException {
    try {
      OptionSet options = parser.parse(arguments);
      if (options.has(help)) {
        System.out.println(
            "magnolia-timeline: prints the events of all instances in the order of their times\n");
        parser.printHelpOn(System.out);
        return 0;
      }
      if (options.has(version)) {
        System.out.println("magnolia-timeline " + Version.TEXT);
        return 0;
      }
      if (!options.has(token) && !options.has(logs)) {
        return fail(EXIT_USAGE, "missing required option --token-file or --logs; see --help");
      }
      print(options);
      return 0;
    } catch (OptionException e) {
      return fail(EXIT_USAGE, e.getMessage() + "; see --help");
    } catch (IOException e) {
      return fail(EXIT_FAILURE, "cannot read the events: " + e.getMessage());
    }
  }

  private void print(OptionSet options) throws IOException {
    TimelineFilter filter =
        new TimelineFilter(
            options.valueOf(request),
            options.valueOf(server),
            options.valueOf(service),
            options.valueOf(kind),
            options.valueOf(from),
            options.valueOf(to));
    List<TimelineEntry> events =
        new ArrayList<>(options.has(logs) ? readLogs(options) : queryInstances(options));
    events.removeIf(event -> !filter.selects(event));
    events.sort(Comparator.comparingLong(TimelineEntry::micros));
    if (options.has(summary)) {
      LoadSummary loadSummary = LoadSummary.of(events);
      System.out.print(
          options.valueOf(format).equals("html") ? loadSummary.html() : loadSummary.text());
      return;
    }
    switch (options.valueOf(format)) {
      case "html" -> System.out.print(TimelinePage.of(events));
      case "json" -> {
        for (TimelineEntry event : events) {
          System.out.println(Json.MAPPER.writeValueAsString(event));
        }
      }
      default -> events.forEach(event -> System.out.println(event.line()));
    }
  }

  private List<TimelineEntry> readLogs(OptionSet options) throws IOException {
    return LogReader.read(options.valuesOf(logs));
  }

  private List<TimelineEntry> queryInstances(OptionSet options) throws IOException {
    List<TimelineEvent> events = new ArrayList<>();
    String secret = Files.readString(Path.of(options.valueOf(token))).strip();
    try (EntryClient client = new EntryClient(URI.create(options.valueOf(entry)), secret)) {
      InstanceStatus queried = client.status();
      List<Member> members = new ArrayList<>(queried.peers());
      members.add(queried.self());
      for (Member member : members) {
        try (EntryClient memberClient = client.at(member)) {
          events.addAll(memberClient.timeline());
        } catch (IOException e) {
          System.err.println(
              "magnolia-timeline: " + member.instance() + " skipped: " + e.getMessage());
        }
      }
    }
    events.sort((a, b) -> a.time().compareTo(b.time()));
    return events.stream().map(TimelineEntry::of).toList();
  }

  private static int fail(int code, String message) {
    System.err.println("magnolia-timeline: " + message);
    return code;
  }
}
