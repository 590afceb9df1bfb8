package org.magnoliaswitch.front.testing;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.connection.CallerResponse;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.request.FrontDispatcher;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.WeightedService;

/** Requests of a caller without a tight deadline. */
public final class Requests {
  private static final long MINUTE_NANOS = TimeUnit.MINUTES.toNanos(1);

  private Requests() {}

  /** A route to service {@code s}, as the only route of a test. */
  public static Route route(boolean idempotent) {
    List<WeightedService> parts = List.of(new WeightedService("s", 1));
    return new Route("r", "h", "/", idempotent, MINUTE_NANOS, MINUTE_NANOS, 0, 3, parts);
  }

  /** Starts a request; the future completes with the final response. */
  public static CompletableFuture<CallerResponse> send(Environment environment) {
    return send(environment, new DefaultHttpHeaders());
  }

  /** Starts a request with further headers; the future completes with the final response. */
  public static CompletableFuture<CallerResponse> send(
      Environment environment, HttpHeaders headers) {
    CompletableFuture<CallerResponse> response = new CompletableFuture<>();
    CallerRequest request =
        new CallerRequest(
            HttpMethod.POST,
            "/x",
            new DefaultHttpHeaders().set(headers).set("Host", "h").set("Request-Id", "1"),
            new byte[0],
            environment.clocks().nanos(),
            false,
            "127.0.0.1");
    environment
        .loop()
        .execute(() -> new FrontDispatcher(environment).start(request, response::complete));
    return response;
  }
}
