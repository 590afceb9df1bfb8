package org.magnoliaswitch.front.connection;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.magnoliaswitch.core.connection.SentIds;
import org.magnoliaswitch.front.version.HeaderNames;

/**
 * Tells which of the requests that a connection has carried a response belongs to.
 *
 * <p>A server may send a second, late response to an earlier request in place of the one to the
 * pending request. An id is carried once only, because it would not tell which of two sends is
 * answered.
 */
final class ResponseMatcher {
  /** The request that a response belongs to. */
  enum Match {
    /** The pending request. */
    PENDING,
    /** An earlier request on the connection. */
    EARLIER,
    /**
     * Unknown: it may be the response to the pending request, so that a later one with its id would
     * be a second one that differs.
     */
    UNKNOWN
  }

  private final HeaderNames names;
  private final SentIds sentIds = new SentIds();
  private Optional<String> pendingId = Optional.empty();
  private int exchanges;
  private boolean outOfSync;

  ResponseMatcher(HeaderNames names) {
    this.names = names;
  }

  /** Whether the connection may carry a request with the id; empty for a health check. */
  boolean mayCarry(Optional<String> id) {
    return id.isEmpty() || !sentIds.contains(id.get());
  }

  /** Records that a request is sent. */
  void sent(Optional<String> id) {
    exchanges++;
    pendingId = id;
    id.ifPresent(sentIds::add);
  }

  /** The id of the last request that was sent; empty if it had none, or none was sent. */
  String lastId() {
    return pendingId.orElse("");
  }

  /** Finds the request that a final response belongs to, while one is pending. */
  Match match(HttpResponse response) {
    String echoed = echoedId(response);
    if (belongsToPending(response, echoed)) {
      return Match.PENDING;
    }
    if (sentIds.contains(echoed)) {
      outOfSync = true;
      return Match.EARLIER;
    }
    return Match.UNKNOWN;
  }

  private boolean belongsToPending(HttpResponse response, String echoed) {
    if (pendingId.isEmpty()) {
      return echoed.isEmpty();
    }
    if (echoed.isEmpty()) {
      // Only a rejection may lack the id, and only where no earlier exchange, a health check among
      // them, could be answered by it a second time.
      return exchanges == 1 && isRejection(response);
    }
    return echoed.equals(pendingId.get());
  }

  private boolean isRejection(HttpResponse response) {
    return response.headers().contains(names.notExecuted())
        || response.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
  }

  /**
   * Whether responses to further requests can be told from late ones. A late copy of a rejection
   * without an id could be taken for the rejection of the next request.
   */
  boolean inSyncAfter(HttpResponse response) {
    boolean identified = pendingId.isEmpty() || !echoedId(response).isEmpty();
    return !outOfSync && identified && !sentIds.isFull();
  }

  /** The id in a response; a server that always echoes the header sends it empty where none was. */
  String echoedId(HttpResponse response) {
    return response.headers().get(names.requestId(), "");
  }
}
