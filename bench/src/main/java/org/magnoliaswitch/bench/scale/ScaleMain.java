package org.magnoliaswitch.bench.scale;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.process.ControlPlane;
import org.magnoliaswitch.core.version.Json;

/** Command line of {@code magnolia-scale}: cost of control against the number of instances. */
public final class ScaleMain {
  private static final int USAGE = 2;
  private static final int CHANGES = 8;
  private static final long CHANGE_EVERY_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
  private static final int SERVICES = 65;
  private static final int SERVERS = 1_600;
  private static final double MEGABYTE = 1024 * 1024;

  /** Measurements at one number of instances; per instance where not said otherwise. */
  record Row(
      int instances,
      double restBytesPerSecond,
      double messagesPerSecond,
      double busyBytesPerSecond,
      double cpuPercent,
      double heapMegabytes,
      double spreadP50Seconds,
      double spreadP99Seconds) {}

  private final Clocks clocks = Clocks.system();
  private final OperatingSystemMXBean system =
      (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

  private ScaleMain() {}

  /** Measures control at several sizes and prints slopes. */
  public static void main(String[] arguments) throws IOException {
    OptionParser parser = new OptionParser();
    OptionSpec<String> directory = parser.accepts("dir", "output directory").withRequiredArg();
    OptionSpec<String> sizes =
        parser
            .accepts("sizes", "numbers of instances, by comma")
            .withRequiredArg()
            .defaultsTo("18,50,100,200");
    OptionSpec<Integer> seconds =
        parser
            .accepts("seconds", "measured time at rest")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(20);
    OptionSpec<Void> help = parser.accepts("help", "print this text").forHelp();
    try {
      OptionSet options = parser.parse(arguments);
      if (options.has(help) || !options.has(directory)) {
        parser.printHelpOn(System.out);
        System.exit(options.has(help) ? 0 : USAGE);
      }
      int[] wanted =
          Arrays.stream(options.valueOf(sizes).split(",", -1))
              .mapToInt(Integer::parseInt)
              .toArray();
      new ScaleMain().run(Path.of(options.valueOf(directory)), wanted, options.valueOf(seconds));
    } catch (OptionException e) {
      System.err.println("magnolia-scale: " + e.getMessage() + "; see --help");
      System.exit(USAGE);
    }
  }

  private void run(Path directory, int[] sizes, int seconds) throws IOException {
    List<Row> rows = new ArrayList<>();
    System.out.printf(
        "%9s %12s %10s %12s %8s %9s %11s %11s%n",
        "instances",
        "rest B/s",
        "msgs/s",
        "changing B/s",
        "cpu %",
        "heap MB",
        "spread p50",
        "spread p99");
    for (int size : sizes) {
      Row row = measure(size, seconds);
      rows.add(row);
      System.out.printf(
          "%9d %12.0f %10.2f %12.0f %8.3f %9.2f %10.2fs %10.2fs%n",
          row.instances(),
          row.restBytesPerSecond(),
          row.messagesPerSecond(),
          row.busyBytesPerSecond(),
          row.cpuPercent(),
          row.heapMegabytes(),
          row.spreadP50Seconds(),
          row.spreadP99Seconds());
    }
    double heap = heapOfLargeDeclarations();
    Files.write(
        directory.resolve("summary.json"),
        Json.MAPPER
            .writerWithDefaultPrettyPrinter()
            .writeValueAsBytes(Map.of("rows", rows, "heapOf1600", heap)));
    Row last = rows.getLast();
    Row first = rows.getFirst();
    double span = Math.max(1, last.instances() - first.instances());
    System.out.printf(
        "slopes per instance: rest_bytes_per_s=%.3f changing_bytes_per_s=%.3f cpu_pct=%.5f heap_mb=%.4f spread_p99_s=%.5f%n",
        (last.restBytesPerSecond() - first.restBytesPerSecond()) / span,
        (last.busyBytesPerSecond() - first.busyBytesPerSecond()) / span,
        (last.cpuPercent() - first.cpuPercent()) / span,
        (last.heapMegabytes() - first.heapMegabytes()) / span,
        (last.spreadP99Seconds() - first.spreadP99Seconds()) / span);
    System.out.printf(
        "scale: bytes_per_s_at_%d=%.0f spread_p99_s_at_%d=%.2f heap_mb_for_1600_targets=%.1f cpu_pct=%.3f%n",
        last.instances(),
        last.busyBytesPerSecond(),
        last.instances(),
        last.spreadP99Seconds(),
        heap,
        last.cpuPercent());
    System.exit(0);
  }

  private Row measure(int size, int seconds) throws IOException {
    try (Fleet fleet = new Fleet(size)) {
      while (!fleet.converged()) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(200));
      }
      long version = fleet.change(0, 0, LargeDeclarations.of(SERVICES, SERVERS, 0));
      awaitVersion(fleet, version, new ArrayList<>());
      pause(TimeUnit.SECONDS.toNanos(3));
      long bytes = fleet.bytes();
      long messages = fleet.messages();
      long cpu = system.getProcessCpuTime();
      long start = clocks.nanos();
      pause(TimeUnit.SECONDS.toNanos(seconds));
      double elapsed = (clocks.nanos() - start) / 1e9;
      double restBytes = (fleet.bytes() - bytes) / elapsed / size;
      double restMessages = (fleet.messages() - messages) / elapsed / size;
      double cpuPercent = 100 * (system.getProcessCpuTime() - cpu) / 1e9 / elapsed / size;
      List<Double> spread = new ArrayList<>();
      double changing = changeOften(fleet, version, spread);
      Collections.sort(spread);
      return new Row(
          size,
          restBytes,
          restMessages,
          // 3,700 changes a day are one in 23 s; here one came every 3 s.
          restBytes + (changing - restBytes) * CHANGE_EVERY_NANOS / 1e9 / (86_400.0 / 3_700),
          cpuPercent,
          heapUsed() / size,
          spread.get(spread.size() / 2),
          spread.get((int) (spread.size() * 0.99)));
    }
  }

  /** Makes changes one after another; returns bytes per second and instance. */
  private double changeOften(Fleet fleet, long from, List<Double> spread) throws IOException {
    long version = from;
    long bytes = fleet.bytes();
    long start = clocks.nanos();
    for (int i = 1; i <= CHANGES; i++) {
      long began = clocks.nanos();
      version =
          fleet.change(
              i * 7 % fleet.instances().size(),
              version,
              LargeDeclarations.of(SERVICES, SERVERS, i));
      awaitVersion(fleet, version, spread);
      pause(CHANGE_EVERY_NANOS - (clocks.nanos() - began));
    }
    double elapsed = (clocks.nanos() - start) / 1e9;
    return (fleet.bytes() - bytes) / elapsed / fleet.instances().size();
  }

  private void awaitVersion(Fleet fleet, long version, List<Double> spread) {
    long start = clocks.nanos();
    List<ControlPlane> behind = new ArrayList<>(fleet.instances());
    while (!behind.isEmpty()) {
      double elapsed = (clocks.nanos() - start) / 1e9;
      behind.removeIf(
          instance -> {
            boolean there = instance.state().version().get().version() >= version;
            if (there) {
              spread.add(elapsed);
            }
            return there;
          });
      LockSupport.parkNanos(POLL_NANOS);
    }
  }

  private double heapOfLargeDeclarations() throws IOException {
    double before = heapUsed();
    try (Fleet fleet = new Fleet(1)) {
      double empty = heapUsed();
      long unused = fleet.change(0, 0, LargeDeclarations.of(SERVICES, SERVERS, 0));
      double loaded = heapUsed();
      System.out.printf("heap: before=%.1f empty=%.1f loaded=%.1f MB%n", before, empty, loaded);
      return loaded - empty;
    }
  }

  private static double heapUsed() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / MEGABYTE;
  }

  private void pause(long nanos) {
    long end = clocks.nanos() + nanos;
    for (long left = nanos; left > 0; left = end - clocks.nanos()) {
      LockSupport.parkNanos(left);
    }
  }
}
