package org.magnoliaswitch.entry;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.process.ControlPlane;
import org.magnoliaswitch.core.process.ServiceState;
import org.magnoliaswitch.core.request.AttemptRunner;
import org.magnoliaswitch.core.request.Deadline;
import org.magnoliaswitch.core.request.Exchange;
import org.magnoliaswitch.core.request.Field;
import org.magnoliaswitch.core.request.InboundRequest;
import org.magnoliaswitch.core.request.Outcome;
import org.magnoliaswitch.core.request.Reply;
import org.magnoliaswitch.core.version.Execution;
import org.magnoliaswitch.core.version.RequestKind;

/** Converts an HTTP request of a caller into an {@link InboundRequest}. */
final class RequestReader {
  /**
   * Maximum length of the body of an at-most-once request, which is buffered as a whole to compute
   * its fingerprint.
   */
  private static final int MAX_AT_MOST_ONCE_BODY_BYTES = 256 * 1024;

  private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;

  /**
   * Maximum length of a rejected body that is still read to its end. It corresponds to a few
   * seconds of transfer from the caller.
   */
  private static final long MAX_DISCARDED_BYTES = 16L * 1024 * 1024;

  private static final int MAX_KEY_LENGTH = 200;
  private static final int NOT_FOUND = 404;
  private static final int TOO_LARGE = 413;
  private static final int BAD_REQUEST = 400;
  private static final int UNAVAILABLE = 503;
  private static final String KEY_HEADER = "Idempotency-Key";
  private static final String GROUP_HEADER = "Caller-Group";

  /** Result of reading a request. */
  sealed interface Reading {
    /** The request is valid and must be served. */
    record Accepted(InboundRequest request) implements Reading {}

    /** The request is answered with this reply and not served. */
    record Rejected(Reply reply) implements Reading {}
  }

  private final EntrySettings settings;
  private final ControlPlane control;

  RequestReader(EntrySettings settings, ControlPlane control) {
    this.settings = settings;
    this.control = control;
  }

  Reading read(Request request) throws IOException {
    long now = control.clocks().nanos();
    String target = request.getHttpURI().getPathQuery();
    String path = Request.getPathInContext(request);
    Optional<ServiceState> service = control.registry().state().serviceOf(path);
    if (service.isEmpty()) {
      return control.registry().state().snapshot().version() == 0
          ? rejected(UNAVAILABLE, "no configuration yet")
          : rejectUnknown("no service has this path");
    }
    String relative = path.substring(service.get().service().pathPrefix().length());
    Optional<RequestKind> kind =
        service.get().profile().kindOf(request.getMethod(), relative.isEmpty() ? "/" : relative);
    if (kind.isEmpty()) {
      return rejectUnknown("the profile has no kind for this request");
    }
    String key = request.getHeaders().get(KEY_HEADER);
    if (key != null && !validKey(key)) {
      return rejected(BAD_REQUEST, "the Idempotency-Key is empty, too long or has odd characters");
    }
    if (request.getLength() > maxBodyBytes(kind.get())) {
      discard(request);
      return rejected(TOO_LARGE, "the body is too large");
    }
    InboundRequest.Body body = body(request, kind.get());
    if (body instanceof InboundRequest.Body.Buffered buffered
        && buffered.content().length > maxBodyBytes(kind.get())) {
      return rejected(TOO_LARGE, "the body is too large");
    }
    return new Reading.Accepted(
        new InboundRequest(
            id(request),
            request.getMethod(),
            target,
            fields(request),
            body,
            service.get(),
            kind.get(),
            deadline(request, kind.get(), now),
            attempt(request),
            Optional.ofNullable(key),
            Request.getRemoteAddr(request)));
  }

  /**
   * Rejects a request that matches no service or kind. While the instance is isolated, its
   * configuration may lack what a newer version has, so it does not answer that the path is
   * unknown.
   */
  private Reading rejectUnknown(String reason) {
    return control.state().contact().isolated()
        ? rejected(UNAVAILABLE, "the configuration may be old: " + reason)
        : rejected(NOT_FOUND, reason);
  }

  private static long maxBodyBytes(RequestKind kind) {
    return kind.execution() == Execution.AT_MOST_ONCE
        ? MAX_AT_MOST_ONCE_BODY_BYTES
        : MAX_BODY_BYTES;
  }

  /**
   * Reads and discards the body of a request that is rejected as too large. If the response were
   * sent while the caller is still sending, the connection would be reset and the response lost,
   * and the caller would not know that nothing was executed.
   */
  private static void discard(Request request) throws IOException {
    if (request.getLength() <= MAX_DISCARDED_BYTES) {
      Content.Source.asInputStream(request).transferTo(OutputStream.nullOutputStream());
    }
  }

  private static boolean validKey(String key) {
    return !key.isEmpty()
        && key.length() <= MAX_KEY_LENGTH
        && key.chars().allMatch(c -> c > ' ' && c < 0x7f && c != '/');
  }

  private static InboundRequest.Body body(Request request, RequestKind kind) throws IOException {
    long length = request.getLength();
    // Without either field a request has no body (RFC 9112, section 6.3), but its length is -1 as
    // that of a chunked one, which cannot be sent again.
    boolean chunked = request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
    if (length == 0 || (length < 0 && !chunked)) {
      return new InboundRequest.Body.Buffered(new byte[0]);
    }
    InputStream stream = Content.Source.asInputStream(request);
    boolean buffered =
        kind.execution() == Execution.AT_MOST_ONCE
            || (length > 0 && length <= Exchange.MAX_BUFFERED_BYTES);
    if (!buffered) {
      return new InboundRequest.Body.Streaming(stream, length);
    }
    byte[] content = stream.readNBytes(MAX_AT_MOST_ONCE_BODY_BYTES + 1);
    if (length >= 0 && content.length < length && content.length <= MAX_AT_MOST_ONCE_BODY_BYTES) {
      throw new IOException("the request body is shorter than its Content-Length");
    }
    return new InboundRequest.Body.Buffered(content);
  }

  private static String id(Request request) {
    return requestedId(request)
        .orElseGet(() -> Long.toHexString(ThreadLocalRandom.current().nextLong()));
  }

  /** Returns the id that the caller has given to its request, if it is valid. */
  static Optional<String> requestedId(Request request) {
    return Optional.ofNullable(request.getHeaders().get(AttemptRunner.ID_HEADER))
        .filter(header -> header.matches("[A-Za-z0-9._:-]{1,100}"));
  }

  private static Deadline deadline(Request request, RequestKind kind, long now) {
    long requested =
        parseNumber(request.getHeaders().get(AttemptRunner.DEADLINE_HEADER), Long.MAX_VALUE);
    return Deadline.after(now, Math.max(1, Math.min(kind.deadlineMillis(), requested)));
  }

  private static InboundRequest.Attempt attempt(Request request) {
    String header = request.getHeaders().get(AttemptRunner.ATTEMPT_HEADER);
    String group = request.getHeaders().get(GROUP_HEADER);
    int number = (int) Math.max(1, Math.min(1_000, parseNumber(header, 1)));
    return new InboundRequest.Attempt(number, header != null, group == null ? "" : group);
  }

  private static long parseNumber(@Nullable String text, long fallback) {
    return text != null && text.matches("[0-9]{1,9}") ? Long.parseLong(text) : fallback;
  }

  /**
   * Returns the end-to-end header fields, which are those that are neither hop-by-hop nor listed in
   * the Connection field, and adds the fields of this proxy.
   */
  private List<Field> fields(Request request) {
    HttpFields received = request.getHeaders();
    Set<String> connectionOptions = new HashSet<>();
    for (String value : received.getCSV(HttpHeader.CONNECTION, false)) {
      connectionOptions.add(value.toLowerCase(Locale.ROOT));
    }
    List<Field> fields = new ArrayList<>();
    for (HttpField header : received) {
      String value = header.getValue() == null ? "" : header.getValue();
      Field field = new Field(header.getName(), value);
      boolean replacedByProxy = field.hasName("Host") || field.hasName("X-Request-Id");
      if (!field.hopByHop()
          && !replacedByProxy
          && !connectionOptions.contains(header.getLowerCaseName())) {
        fields.add(field);
      }
    }
    fields.add(new Field("Forwarded", forwarded(request)));
    fields.add(new Field("Via", "1.1 magnoliaswitch"));
    return fields;
  }

  private String forwarded(Request request) {
    String host = request.getHeaders().get(HttpHeader.HOST);
    return "for=\""
        + Request.getRemoteAddr(request)
        + "\";by=\""
        + settings.host()
        + "\";proto="
        + (request.isSecure() ? "https" : "http")
        + (host == null ? "" : ";host=\"" + host.replace("\"", "") + '"');
  }

  private static Reading rejected(int status, String reason) {
    int retryAfter = status == UNAVAILABLE ? 1 : 0;
    return new Reading.Rejected(Reply.local(status, Outcome.NOT_EXECUTED, reason, retryAfter));
  }
}
