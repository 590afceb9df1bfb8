package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.HttpHeaderNames;
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
  private static final int LOGGED_TARGET_LENGTH = 200;

  private final Environment environment;
  private final ServerSearch search;
  private final PendingQueue<Placing> pending;
  private final Set<Exchange> underWay = new HashSet<>();

  public FrontDispatcher(Environment environment) {
    this.environment = environment;
    this.pending = new PendingQueue<>(environment.settings().mechanisms());
    this.search = new ServerSearch(environment, new Probes(environment));
    environment.crashes().listen(lesson -> environment.loop().execute(this::crashesChanged));
  }

  private void crashesChanged() {
    List.copyOf(underWay).forEach(Exchange::crashesChanged);
  }

  @Override
  public boolean idempotent(CallerRequest request) {
    // Before the first configuration nothing is known to be harmless beside others.
    return environment.routes().get().known() && route(request).map(Route::idempotent).orElse(true);
  }

  @Override
  public void rejected(HttpResponseStatus status, String reason, Optional<HttpRequest> head) {
    environment.metrics().count("unreadable.requests", "", String.valueOf(status.code()));
    environment
        .log()
        .failure("unreadable")
        .add("request", head.map(this::requestId).orElse(""))
        .add("target", head.map(FrontDispatcher::shortTarget).orElse(""))
        .add("status", status.code())
        .add("reason", reason)
        .add("version", environment.routes().get().version())
        .write();
  }

  private static String shortTarget(HttpRequest request) {
    String target = request.uri();
    return target.substring(0, Math.min(target.length(), LOGGED_TARGET_LENGTH));
  }

  private String requestId(HttpRequest request) {
    return request.headers().get(environment.names().requestId(), "");
  }

  @Override
  public Call start(CallerRequest request, Consumer<CallerResponse> answer) {
    UnderWay call = new UnderWay(request, answer);
    underWay.add(call.exchange);
    call.exchange.start(() -> route(request));
    return call;
  }

  /** A request until its answer is given or its caller has left. */
  private final class UnderWay implements Call {
    private final Exchange exchange;

    UnderWay(CallerRequest request, Consumer<CallerResponse> answer) {
      this.exchange =
          new Exchange(
              environment,
              search,
              pending,
              request,
              given -> {
                ended();
                answer.accept(given);
              });
    }

    @Override
    public void callerDisconnected() {
      ended();
      exchange.callerDisconnected();
    }

    private void ended() {
      underWay.remove(exchange);
    }
  }

  private Optional<Route> route(CallerRequest request) {
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    return environment.routes().get().find(host, request.target());
  }
}
