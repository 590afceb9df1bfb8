package org.magnoliaswitch.core.request;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The reply to a caller.
 *
 * @param status HTTP status
 * @param fields header fields without those for framing
 * @param body body of the reply
 * @param outcome what became of the request
 */
public record Reply(int status, List<Field> fields, Body body, Outcome outcome) {
  public Reply {
    fields = List.copyOf(fields);
  }

  /** The body of a reply. */
  public sealed interface Body {
    /** A body in memory. */
    record Buffered(byte[] content) implements Body {}

    /**
     * A body that is forwarded while it is received.
     *
     * @param stream content; reading fails if the body is truncated
     * @param length length in bytes, or -1 if unknown
     * @param completion called once with whether the complete body was forwarded
     */
    record Streaming(InputStream stream, long length, CompletionListener completion)
        implements Body {}
  }

  /** Notified when a streaming body has been forwarded or abandoned. */
  @FunctionalInterface
  public interface CompletionListener {
    /** Called with whether the complete body was read. */
    void completed(boolean complete) throws IOException;
  }

  /** Creates a reply of this instance itself, as opposed to one of a backend server. */
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
   * Creates a reply to a copy of a request that was certainly not executed, while earlier copies
   * with the same key may have been executed.
   */
  public static Reply attemptNotExecuted(int status, String reason, int retryAfterSeconds) {
    return local(status, Outcome.UNKNOWN, reason, retryAfterSeconds)
        .withField(new Field(Outcome.ATTEMPT_OUTCOME_HEADER, Outcome.NOT_EXECUTED.text()));
  }

  /** Returns a copy of this reply with an additional header field. */
  public Reply withField(Field field) {
    List<Field> extended = new ArrayList<>(fields);
    extended.add(field);
    return new Reply(status, extended, body, outcome);
  }

  /** The body if it is in memory, otherwise null. */
  public byte @Nullable [] bufferedBody() {
    return body instanceof Body.Buffered buffered ? buffered.content() : null;
  }
}
