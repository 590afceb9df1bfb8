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

/**
 * Command line of {@code magnolia-scale}: measures the cost of the control plane for several
 * numbers of instances.
 */
public final class ScaleMain {
  private static final int USAGE_ERROR = 2;
  private static final int CHANGES = 8;
  private static final long CHANGE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
  private static final int SERVICES = 65;
  private static final int SERVERS = 1_600;
  private static final double MEGABYTE = 1024 * 1024;

  /**
   * The measurements for one number of instances; bytes, messages, CPU time and heap are per
   * instance.
   */
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
  private final OperatingSystemMXBean operatingSystem =
      (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

  private ScaleMain() {}

  /** Measures the control plane at several numbers of instances and prints the slopes. */
  public static void main(String[] arguments) throws IOException {
    OptionParser parser = new OptionParser();
    OptionSpec<String> directory = parser.accepts("dir", "output directory").withRequiredArg();
    OptionSpec<String> sizes =
        parser
            .accepts("sizes", "numbers of instances, separated by commas")
            .withRequiredArg()
            .defaultsTo("18,50,100,200");
    OptionSpec<Integer> seconds =
        parser
            .accepts("seconds", "length of the measurement without changes, in seconds")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(20);
    OptionSpec<Void> help = parser.accepts("help", "print this text").forHelp();
    try {
      OptionSet options = parser.parse(arguments);
      if (options.has(help) || !options.has(directory)) {
        parser.printHelpOn(System.out);
        System.exit(options.has(help) ? 0 : USAGE_ERROR);
      }
      int[] instanceCounts =
          Arrays.stream(options.valueOf(sizes).split(",", -1))
              .mapToInt(Integer::parseInt)
              .toArray();
      new ScaleMain()
          .run(Path.of(options.valueOf(directory)), instanceCounts, options.valueOf(seconds));
    } catch (OptionException e) {
      System.err.println("magnolia-scale: " + e.getMessage() + "; see --help");
      System.exit(USAGE_ERROR);
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
    double addedInstances = Math.max(1, last.instances() - first.instances());
    System.out.printf(
        "slopes per instance: rest_bytes_per_s=%.3f changing_bytes_per_s=%.3f cpu_pct=%.5f heap_mb=%.4f spread_p99_s=%.5f%n",
        (last.restBytesPerSecond() - first.restBytesPerSecond()) / addedInstances,
        (last.busyBytesPerSecond() - first.busyBytesPerSecond()) / addedInstances,
        (last.cpuPercent() - first.cpuPercent()) / addedInstances,
        (last.heapMegabytes() - first.heapMegabytes()) / addedInstances,
        (last.spreadP99Seconds() - first.spreadP99Seconds()) / addedInstances);
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
      long version = fleet.submitChange(0, 0, LargeDeclarations.of(SERVICES, SERVERS, 0));
      awaitVersion(fleet, version, new ArrayList<>());
      pause(TimeUnit.SECONDS.toNanos(3));
      long bytes = fleet.bytes();
      long messages = fleet.messages();
      long cpu = operatingSystem.getProcessCpuTime();
      long start = clocks.nanos();
      pause(TimeUnit.SECONDS.toNanos(seconds));
      double elapsed = (clocks.nanos() - start) / 1e9;
      double idleBytes = (fleet.bytes() - bytes) / elapsed / size;
      double idleMessages = (fleet.messages() - messages) / elapsed / size;
      double cpuPercent = 100 * (operatingSystem.getProcessCpuTime() - cpu) / 1e9 / elapsed / size;
      List<Double> delays = new ArrayList<>();
      double bytesDuringChanges = measureChanges(fleet, version, delays);
      Collections.sort(delays);
      return new Row(
          size,
          idleBytes,
          idleMessages,
          // Scaled from one change every 3 s, as submitted here, to 3,700 changes a day, which is
          // one every 23 s.
          idleBytes
              + (bytesDuringChanges - idleBytes) * CHANGE_INTERVAL_NANOS / 1e9 / (86_400.0 / 3_700),
          cpuPercent,
          heapUsed() / size,
          delays.get(delays.size() / 2),
          delays.get((int) (delays.size() * 0.99)));
    }
  }

  /** Submits changes one after another; returns the bytes per second and instance. */
  private double measureChanges(Fleet fleet, long from, List<Double> delays) throws IOException {
    long version = from;
    long bytes = fleet.bytes();
    long start = clocks.nanos();
    for (int i = 1; i <= CHANGES; i++) {
      long submitted = clocks.nanos();
      version =
          fleet.submitChange(
              i * 7 % fleet.instances().size(),
              version,
              LargeDeclarations.of(SERVICES, SERVERS, i));
      awaitVersion(fleet, version, delays);
      pause(CHANGE_INTERVAL_NANOS - (clocks.nanos() - submitted));
    }
    double elapsed = (clocks.nanos() - start) / 1e9;
    return (fleet.bytes() - bytes) / elapsed / fleet.instances().size();
  }

  private void awaitVersion(Fleet fleet, long version, List<Double> delays) {
    long start = clocks.nanos();
    List<ControlPlane> pending = new ArrayList<>(fleet.instances());
    while (!pending.isEmpty()) {
      double elapsed = (clocks.nanos() - start) / 1e9;
      pending.removeIf(
          instance -> {
            boolean reached = instance.state().version().get().version() >= version;
            if (reached) {
              delays.add(elapsed);
            }
            return reached;
          });
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
  }

  private double heapOfLargeDeclarations() throws IOException {
    double before = heapUsed();
    try (Fleet fleet = new Fleet(1)) {
      double emptyFleet = heapUsed();
      long unused = fleet.submitChange(0, 0, LargeDeclarations.of(SERVICES, SERVERS, 0));
      double loaded = heapUsed();
      System.out.printf(
          "heap: before=%.1f empty=%.1f loaded=%.1f MB%n", before, emptyFleet, loaded);
      return loaded - emptyFleet;
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
