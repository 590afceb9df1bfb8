package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.process.RetryAfterHeader;
import org.magnoliaswitch.front.connection.ServerReply;
import org.magnoliaswitch.front.load.ServerNotice;
import org.magnoliaswitch.front.version.HeaderNames;

/**
 * Parses the headers by which a backend server announces its departure, limits its requests or
 * requests a pause.
 */
final class NoticeHeaders {
  /** Value of the header by which a server states that it is not leaving. */
  private static final String NOT_LEAVING = "0";

  private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}([.][0-9]{1,9})?");

  private NoticeHeaders() {}

  /** The notice in a response; a value that is not a valid number is ignored. */
  static ServerNotice read(ServerReply.Complete response, HeaderNames names) {
    boolean leaving = !response.headers().get(names.leaving(), NOT_LEAVING).equals(NOT_LEAVING);
    Optional<Double> limit = decimal(response.headers().get(names.requestLimit()));
    OptionalLong pause =
        rejected(response)
            ? RetryAfterHeader.nanos(response.headers().get(RetryAfterHeader.NAME))
            : OptionalLong.empty();
    return new ServerNotice(
        leaving, limit.map(OptionalDouble::of).orElseGet(OptionalDouble::empty), pause.orElse(0));
  }

  private static boolean rejected(ServerReply.Complete response) {
    int status = response.status().code();
    return status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
        || status == HttpResponseStatus.TOO_MANY_REQUESTS.code();
  }

  private static Optional<Double> decimal(@Nullable String value) {
    return value != null && DECIMAL.matcher(value.strip()).matches()
        ? Optional.of(Double.valueOf(value.strip()))
        : Optional.empty();
  }
}
