import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a blocking stream. */
final class Http {
  /** The first line, the headers in lower case, and the body of a message. */
  record Message(String firstLine, Map<String, String> headers, byte[] body) {
    String method() {
      return firstLine.split(" ", 3)[0];
    }

    String target() {
      return firstLine.split(" ", 3)[1];
    }

    int status() {
      return Integer.parseInt(firstLine.split(" ", 3)[1]);
    }

    String header(String name) {
      return headers.getOrDefault(name, "");
    }
  }

  private Http() {}

  /** Reads a message with a length; null at the end of the stream between two messages. */
  static Message read(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(in); ; line = line(in)) {
      if (line == null) {
        throw new IOException("the message ends in its head");
      }
      if (line.isEmpty()) {
        break;
      }
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new IOException("the message ends in its body");
    }
    return new Message(first, headers, body);
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int c = in.read(); c >= 0; c = in.read()) {
      if (c == '\n') {
        return text.toString().stripTrailing();
      }
      text.append((char) c);
    }
    if (text.length() > 0) {
      throw new IOException("the message ends in a line");
    }
    return null;
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
