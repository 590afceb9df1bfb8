package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Which headers go on to the next hop. */
final class Headers {
  private static final List<CharSequence> ONE_CONNECTION_ONLY =
      List.of(
          HttpHeaderNames.CONNECTION,
          "keep-alive",
          "proxy-connection",
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT);

  private Headers() {}

  /** A copy without the headers that concern one connection only. */
  static HttpHeaders endToEnd(HttpHeaders headers) {
    HttpHeaders copy = new DefaultHttpHeaders().set(headers);
    for (String listed : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : listed.split(",", -1)) {
        if (!name.isBlank()) {
          copy.remove(name.strip());
        }
      }
    }
    ONE_CONNECTION_ONLY.forEach(copy::remove);
    return copy;
  }
}
