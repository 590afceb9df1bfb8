import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Writes what happens, with the milliseconds since the start of the case. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  synchronized void line(String format, Object... arguments) {
    out.printf("%7d ms  %s%n", millis(), format.formatted(arguments));
  }

  /** Writes a line that is also shown. */
  void result(String format, Object... arguments) {
    line(format, arguments);
    System.out.println(format.formatted(arguments));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
