import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, run and answered, each line with its time in ms. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long start = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
  }

  synchronized void line(String event, Object... details) {
    StringBuilder text = new StringBuilder();
    text.append(
        String.format(Locale.ROOT, "%.1f %s", (System.nanoTime() - start) / 1e6, event));
    for (Object detail : details) {
      text.append(' ').append(detail);
    }
    out.println(text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
