package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.List;

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
