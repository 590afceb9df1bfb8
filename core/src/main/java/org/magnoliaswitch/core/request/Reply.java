package org.magnoliaswitch.core.request;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What the caller is answered.
 *
 * @param status HTTP status
 * @param fields header fields, framing left out
 * @param body its body
 * @param outcome what became of the request
 */
public record Reply(int status, List<Field> fields, Body body, Outcome outcome) {
  public Reply {
    fields = List.copyOf(fields);
  }

  /** The body of a reply. */
  public sealed interface Body {
    /** A body held whole. */
    record Buffered(byte[] content) implements Body {}

    /**
     * A body passed on while it arrives.
     *
     * @param stream fails when the body is cut short
     * @param length its length, or -1 when not known
     * @param end called once with whether all was passed on
     */
    record Streaming(InputStream stream, long length, CompletionListener completion)
        implements Body {}
  }

  /** Takes the end of a streamed body. */
  @FunctionalInterface
  public interface CompletionListener {
    /** Called with whether the whole body was read. */
    void completed(boolean whole) throws IOException;
  }

  /** A reply made by this instance. */
  public static Reply local(int status, Outcome outcome, String reason, int retryAfterSeconds) {
    List<Field> fields = new ArrayList<>();
    fields.add(new Field("Content-Type", "application/json"));
    if (retryAfterSeconds > 0) {
      fields.add(new Field("Retry-After", String.valueOf(retryAfterSeconds)));
    }
    String body = "{\"outcome\":\"" + outcome.text() + "\",\"reason\":\"" + reason + "\"}\n";
    return new Reply(
        status, fields, new Body.Buffered(body.getBytes(StandardCharsets.UTF_8)), outcome);
  }

  /**
   * A reply to a copy of a request that was certainly not executed, while earlier copies under its
   * key may have been.
   */
  public static Reply attemptNotExecuted(int status, String reason, int retryAfterSeconds) {
    return local(status, Outcome.UNKNOWN, reason, retryAfterSeconds)
        .withField(new Field(Outcome.ATTEMPT_OUTCOME_HEADER, Outcome.NOT_EXECUTED.text()));
  }

  /** The same reply with one more field. */
  public Reply withField(Field field) {
    List<Field> more = new ArrayList<>(fields);
    more.add(field);
    return new Reply(status, more, body, outcome);
  }

  /** The body when it is held whole. */
  public byte @Nullable [] bufferedBody() {
    return body instanceof Body.Buffered held ? held.content() : null;
  }
}
