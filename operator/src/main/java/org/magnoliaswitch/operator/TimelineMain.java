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

/** Command line of {@code magnolia-timeline}: events of all instances in one order. */
public final class TimelineMain {
  private static final int FAILED = 1;
  private static final int USAGE = 2;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> entry =
      parser
          .accepts("entry", "operators' address of any instance")
          .withRequiredArg()
          .defaultsTo("http://127.0.0.1:7101");
  private final OptionSpec<String> token =
      parser.accepts("token-file", "file with the bearer token").withRequiredArg();
  private final OptionSpec<String> logs =
      parser
          .accepts("logs", "files with the output of instances instead, - for standard input")
          .withRequiredArg()
          .withValuesSeparatedBy(',');
  private final OptionSpec<String> format =
      parser.accepts("output", "text, json or html").withRequiredArg().defaultsTo("text");
  private final OptionSpec<String> request = filter("request", "only this request id");
  private final OptionSpec<String> server = filter("server", "only this backend server");
  private final OptionSpec<String> service = filter("service", "only this service");
  private final OptionSpec<String> kind = filter("kind", "only this kind of event");
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
      parser.accepts("summary", "requests and slot time per service and second, of --logs");
  private final OptionSpec<Void> help = parser.accepts("help", "print this text").forHelp();
  private final OptionSpec<Void> version = parser.accepts("version", "print the version").forHelp();

  private TimelineMain() {}

  /** Prints the time line; exits with 0, 1 for failures or 2 for unusable arguments. */
  public static void main(String[] arguments) throws IOException {
    System.exit(new TimelineMain().run(arguments));
  }

  private OptionSpec<String> filter(String name, String text) {
    return parser.accepts(name, text).withRequiredArg().defaultsTo("");
  }

  private int run(String[] arguments) throws IOException {
    try {
      OptionSet options = parser.parse(arguments);
      if (options.has(help)) {
        System.out.println("magnolia-timeline: events of all instances in one order\n");
        parser.printHelpOn(System.out);
        return 0;
      }
      if (options.has(version)) {
        System.out.println("magnolia-timeline " + Version.TEXT);
        return 0;
      }
      if (!options.has(token) && !options.has(logs)) {
        return fail(USAGE, "--token-file or --logs is needed; see --help");
      }
      print(options);
      return 0;
    } catch (OptionException e) {
      return fail(USAGE, e.getMessage() + "; see --help");
    } catch (IOException e) {
      return fail(FAILED, "cannot read the events: " + e.getMessage());
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
        new ArrayList<>(options.has(logs) ? read(options) : gather(options));
    events.removeIf(event -> !filter.selects(event));
    events.sort(Comparator.comparingLong(TimelineEntry::micros));
    if (options.has(summary)) {
      LoadSummary load = LoadSummary.of(events);
      System.out.print(options.valueOf(format).equals("html") ? load.html() : load.text());
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

  private List<TimelineEntry> read(OptionSet options) throws IOException {
    return LogReader.read(options.valuesOf(logs));
  }

  private List<TimelineEntry> gather(OptionSet options) throws IOException {
    List<TimelineEvent> events = new ArrayList<>();
    String secret = Files.readString(Path.of(options.valueOf(token))).strip();
    try (EntryClient client = new EntryClient(URI.create(options.valueOf(entry)), secret)) {
      InstanceStatus asked = client.status();
      List<Member> members = new ArrayList<>(asked.peers());
      members.add(asked.self());
      for (Member member : members) {
        try (EntryClient other = client.at(member)) {
          events.addAll(other.timeline());
        } catch (IOException e) {
          System.err.println(
              "magnolia-timeline: " + member.instance() + " left out: " + e.getMessage());
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
