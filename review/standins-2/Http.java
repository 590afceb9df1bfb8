import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages. */
final class Http {
  /** A message; the header names are in lower case. */
  record Message(String startLine, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** The method of a request or the protocol version of a response. */
    String first() {
      return startLine.split(" ", 3)[0];
    }

    /** The target of a request or the status of a response. */
    String second() {
      return startLine.split(" ", 3)[1];
    }

    boolean closes() {
      return header("connection").toLowerCase(Locale.ROOT).contains("close");
    }
  }

  private Http() {}

  static InputStream buffered(InputStream in) {
    return new BufferedInputStream(in, 16 << 10);
  }

  /** Reads a message; null if the connection ended before its first byte. */
  static Message read(InputStream in) throws IOException {
    String start = readLine(in, true);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
      int colon = line.indexOf(':');
      if (colon > 0) {
        String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
        headers.putIfAbsent(name, line.substring(colon + 1).strip());
      }
    }
    byte[] body = new byte[0];
    if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
      body = readChunks(in);
    } else if (headers.containsKey("content-length")) {
      int length = Integer.parseInt(headers.get("content-length"));
      body = in.readNBytes(length);
      if (body.length < length) {
        throw new EOFException("the connection ended within a body");
      }
    }
    return new Message(start, headers, body);
  }

  private static byte[] readChunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      int length = Integer.parseInt(readLine(in, false).split(";")[0].strip(), 16);
      byte[] chunk = in.readNBytes(length);
      if (chunk.length < length) {
        throw new EOFException("the connection ended within a chunk");
      }
      body.writeBytes(chunk);
      readLine(in, false);
      if (length == 0) {
        return body.toByteArray();
      }
    }
  }

  private static String readLine(InputStream in, boolean mayEnd) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (mayEnd && line.size() == 0) {
          return null;
        }
        throw new EOFException("the connection ended within a head");
      }
      line.write(next);
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Builds a message with a length. */
  static byte[] message(String startLine, String headers, byte[] body) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(
        bytes(startLine + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n"));
    out.writeBytes(body);
    return out.toByteArray();
  }
}
