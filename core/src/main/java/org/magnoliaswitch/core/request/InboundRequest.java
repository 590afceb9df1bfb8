package org.magnoliaswitch.core.request;

import java.io.InputStream;
import java.util.List;
import java.util.Optional;
import org.magnoliaswitch.core.crash.RequestIdentity;
import org.magnoliaswitch.core.process.ServiceState;
import org.magnoliaswitch.core.version.Execution;
import org.magnoliaswitch.core.version.RequestKind;

/**
 * A caller's request with what was decided about it on arrival.
 *
 * @param id request id, from the caller or made here
 * @param method HTTP method
 * @param target path and query
 * @param fields end-to-end header fields
 * @param body its body
 * @param service state of the service it goes to; the request finishes under this version
 * @param kind its kind by the service's profile
 * @param deadline when the caller needs the answer
 * @param attempt 1 for a first attempt; more when the caller or an outer layer retries
 * @param key idempotency key, if it brought one
 * @param caller address of the caller, without its port
 */
public record InboundRequest(
    String id,
    String method,
    String target,
    List<Field> fields,
    Body body,
    ServiceState service,
    RequestKind kind,
    Deadline deadline,
    Attempt attempt,
    Optional<String> key,
    String caller) {
  /** The body of a request. */
  public sealed interface Body {
    /** A body held whole, which can be sent again. */
    record Buffered(byte[] content) implements Body {}

    /**
     * A body read while it is sent, which can be sent once.
     *
     * @param stream where it comes from
     * @param length its length, or -1 when sent in chunks
     */
    record Streaming(InputStream stream, long length) implements Body {}
  }

  /**
   * Which attempt this is.
   *
   * @param number 1 for the first
   * @param declared whether the sender said so
   * @param callerGroup group whose retry budget it uses
   */
  public record Attempt(int number, boolean declared, String callerGroup) {}

  /** Whether it may be executed more than once. */
  public boolean idempotent() {
    return kind.execution() == Execution.IDEMPOTENT;
  }

  /** Whether it can be sent again. */
  public boolean repeatable() {
    return body instanceof Body.Buffered;
  }

  /**
   * What it asks for, whoever brings it and however often. Of a body that is read while it is sent
   * only the length counts.
   */
  public RequestIdentity identity() {
    return switch (body) {
      case Body.Buffered whole ->
          RequestIdentity.ofContent(method, host(), target, whole.content());
      case Body.Streaming streaming ->
          RequestIdentity.ofContent(method, host(), target + ' ' + streaming.length(), new byte[0]);
    };
  }

  private String host() {
    return service.service().name();
  }

  /** The first value of a header field. */
  public Optional<String> field(String name) {
    return fields.stream().filter(f -> f.hasName(name)).map(Field::value).findFirst();
  }
}
