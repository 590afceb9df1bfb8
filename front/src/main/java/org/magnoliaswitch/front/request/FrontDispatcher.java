package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.connection.CallerResponse;
import org.magnoliaswitch.front.connection.RequestHandler;
import org.magnoliaswitch.front.load.PendingQueue;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.version.Route;

/** Starts an {@link Exchange} for each request of a caller. */
public final class FrontDispatcher implements RequestHandler {
  private static final int MAX_LOGGED_TARGET_LENGTH = 200;

  private final Environment environment;
  private final ServerSearch finder;
  private final Authenticator authenticator;
  private final PendingQueue<RequestPlacement> pendingQueue;
  private final Set<Exchange> activeExchanges = new HashSet<>();

  public FrontDispatcher(Environment environment) {
    this.environment = environment;
    this.pendingQueue = new PendingQueue<>(environment.settings().mechanisms());
    this.finder = new ServerSearch(environment, new LoadProber(environment));
    this.authenticator = new Authenticator(environment);
    environment.crashes().addListener(change -> environment.loop().execute(this::crashesChanged));
  }

  private void crashesChanged() {
    List.copyOf(activeExchanges).forEach(Exchange::crashesChanged);
  }

  @Override
  public boolean idempotent(CallerRequest request) {
    // Without a configuration, no request is known to be safe to process concurrently with others.
    return environment.routes().get().known() && route(request).map(Route::idempotent).orElse(true);
  }

  @Override
  public void rejected(HttpResponseStatus status, String reason, Optional<HttpRequest> head) {
    environment.metrics().count("unreadable.requests", "", String.valueOf(status.code()));
    environment
        .log()
        .failure("unreadable")
        .add("request", head.map(this::requestId).orElse(""))
        .add("target", head.map(FrontDispatcher::truncatedTarget).orElse(""))
        .add("status", status.code())
        .add("reason", reason)
        .add("version", environment.routes().get().version())
        .write();
  }

  @Override
  public void responseCut(HttpHeaders lastHeaders, long unsentBytes, String reason) {
    environment.metrics().count("answers.cut", "", reason);
    environment
        .log()
        .failure("answer_cut")
        .add("request", lastHeaders.get(environment.names().requestId(), ""))
        .add("unsent_bytes", unsentBytes)
        .add("reason", reason)
        .write();
  }

  private static String truncatedTarget(HttpRequest request) {
    String target = request.uri();
    return target.substring(0, Math.min(target.length(), MAX_LOGGED_TARGET_LENGTH));
  }

  private String requestId(HttpRequest request) {
    return request.headers().get(environment.names().requestId(), "");
  }

  @Override
  public Call start(CallerRequest request, Consumer<CallerResponse> respond) {
    ActiveCall call = new ActiveCall(request, respond);
    activeExchanges.add(call.exchange);
    call.exchange.start(() -> route(request));
    return call;
  }

  /** A request until it is answered or its caller has left. */
  private final class ActiveCall implements Call {
    private final Exchange exchange;

    ActiveCall(CallerRequest request, Consumer<CallerResponse> respond) {
      this.exchange =
          new Exchange(
              environment,
              finder,
              authenticator,
              pendingQueue,
              request,
              result -> {
                remove();
                respond.accept(result);
              });
    }

    @Override
    public void callerDisconnected() {
      remove();
      exchange.callerDisconnected();
    }

    private void remove() {
      activeExchanges.remove(exchange);
    }
  }

  private Optional<Route> route(CallerRequest request) {
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    return environment.routes().get().find(host, request.target());
  }
}
