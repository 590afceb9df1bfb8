package org.magnoliaswitch.front.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;
import java.util.function.Consumer;
import org.magnoliaswitch.front.connection.CallerAnswer;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.connection.RequestHandler;
import org.magnoliaswitch.front.load.WaitingLine;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.version.Route;

/** Starts an {@link Exchange} for each request of a caller. */
public final class FrontDispatcher implements RequestHandler {
  private final Environment environment;
  private final ServerSearch search;
  private final WaitingLine<Placing> line;

  public FrontDispatcher(Environment environment) {
    this.environment = environment;
    this.line = new WaitingLine<>(environment.settings().mechanisms());
    this.search = new ServerSearch(environment, new Probes(environment));
  }

  @Override
  public boolean idempotent(CallerRequest request) {
    // Before the first configuration nothing is known to be harmless beside others.
    return environment.routes().get().known() && route(request).map(Route::idempotent).orElse(true);
  }

  @Override
  public Call start(CallerRequest request, Consumer<CallerAnswer> answer) {
    Exchange exchange = new Exchange(environment, search, line, request, answer);
    exchange.start(() -> route(request));
    return exchange;
  }

  private Optional<Route> route(CallerRequest request) {
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    return environment.routes().get().find(host, request.target());
  }
}
