package org.magnoliaswitch.core.request;

import java.util.concurrent.ThreadLocalRandom;
import org.magnoliaswitch.core.process.ControlPlane;
import org.magnoliaswitch.core.process.ControlState;
import org.magnoliaswitch.core.process.EventKind;
import org.magnoliaswitch.core.process.Timeline;

/** Serves callers' requests from the listener to the reply. */
public final class RequestService {
  private final AtMostOnceExecutor atMostOnceExecutor;
  private final Dispatcher dispatcher;
  private final AtMostOnceExecutor.Dependencies dependencies;
  private final HolderForwarder forwarder;
  private final Timeline timeline;

  public RequestService(ControlPlane control, String dataCentre, boolean callersBalancerResends) {
    ControlState state = control.state();
    this.timeline = state.timeline();
    AttemptRunner runner =
        new AttemptRunner(
            control.clocks(),
            timeline,
            state.refusedResponses(),
            state.leaving(),
            control.gossip()::pushUpdate);
    this.dispatcher =
        new Dispatcher(
            control.clocks(),
            timeline,
            state.leaving(),
            runner,
            state.crashes(),
            dataCentre,
            ThreadLocalRandom::current);
    this.forwarder = new HolderForwarder(control.clocks(), state.refusedResponses());
    this.dependencies =
        new AtMostOnceExecutor.Dependencies(
            control.issuer(),
            control.ledger(),
            control.claims(),
            control.records(),
            state.membership(),
            forwarder,
            OutcomeAwaiter.blocking(control.clocks()));
    this.atMostOnceExecutor =
        new AtMostOnceExecutor(
            dependencies, dispatcher::dispatch, callersBalancerResends, control.clocks(), timeline);
  }

  /** Serves one request. */
  public Reply serve(InboundRequest request) {
    String service = request.service().service().name();
    timeline.record(
        EventKind.REQUEST_RECEIVED, request.id(), service, "", "kind=" + request.kind().name());
    Reply reply =
        request.idempotent() ? dispatcher.dispatch(request) : atMostOnceExecutor.serve(request);
    timeline.record(
        EventKind.REQUEST_ENDED,
        request.id(),
        service,
        "",
        "status=" + reply.status() + " outcome=" + reply.outcome().text());
    return reply;
  }

  /** Returns the lookup of outcomes by idempotency key. */
  public OutcomeQuery outcomes() {
    return new OutcomeQuery(dependencies);
  }

  /** Returns the client that forwards requests to other instances. */
  public HolderForwarder forwarder() {
    return forwarder;
  }
}
