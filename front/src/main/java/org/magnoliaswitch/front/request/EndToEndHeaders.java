package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.List;
import org.magnoliaswitch.front.version.HeaderNames;

/** Selects the headers that are forwarded to the next hop. */
final class EndToEndHeaders {
  private static final List<CharSequence> HOP_BY_HOP =
      List.of(
          HttpHeaderNames.CONNECTION,
          AsciiString.cached("keep-alive"),
          AsciiString.cached("proxy-connection"),
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT);

  private EndToEndHeaders() {}

  /**
   * Returns the headers of a request that its server receives. Those that say what the request is
   * and where it goes are kept also if the caller lists them as headers of the connection: without
   * its id, a request is run under no id, and its response cannot be matched to it.
   */
  static HttpHeaders ofRequest(HttpHeaders headers, HeaderNames names) {
    HttpHeaders copy = copyOf(headers);
    for (CharSequence name : List.of(HttpHeaderNames.HOST, names.requestId())) {
      copy.set(name, headers.getAll(name));
    }
    return copy;
  }

  /** A copy without the hop-by-hop headers, which concern a single connection. */
  static HttpHeaders copyOf(HttpHeaders headers) {
    HttpHeaders copy = new DefaultHttpHeaders().set(headers);
    for (String listed : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : listed.split(",", -1)) {
        if (!name.isBlank()) {
          copy.remove(name.strip());
        }
      }
    }
    HOP_BY_HOP.forEach(copy::remove);
    return copy;
  }
}
