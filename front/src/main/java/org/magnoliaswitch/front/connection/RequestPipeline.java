package org.magnoliaswitch.front.connection;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The requests of one caller's connection whose responses have not been written yet, in order.
 *
 * <p>Callers may pipeline requests. Idempotent requests run concurrently, and their responses are
 * written in order. Any other request waits until it is the oldest, because a response that closes
 * the connection makes the caller repeat all requests after it. Requests also wait while their
 * caller does not read the responses before.
 */
final class RequestPipeline {
  /** Limit of unanswered requests on one connection; further bytes stay in the kernel's buffer. */
  private static final int MAX_PIPELINED_REQUESTS = 64;

  /**
   * Memory that the responses of one connection may hold before further requests wait until the
   * caller has read some: as much as the kernel holds of them at most.
   */
  static final long MAX_WAITING_BYTES = 4 << 20;

  /** Memory of a response besides its body: headers and the objects that carry it. */
  private static final long RESPONSE_OVERHEAD_BYTES = 1 << 10;

  private final CallerConnection connection;
  private final Channel channel;
  private final RequestHandler handler;
  private final BodyMemory bodies;
  private final ResponseBacklog.Share waiting;
  private final Deque<PendingRequest> requests = new ArrayDeque<>();
  private long largestResponseBytes = RESPONSE_OVERHEAD_BYTES;
  private boolean awaitsCaller;
  private boolean proceeding;
  private boolean proceedAgain;

  RequestPipeline(
      CallerConnection connection,
      Channel channel,
      RequestHandler handler,
      CallerListener listener) {
    this.connection = connection;
    this.channel = channel;
    this.handler = handler;
    this.bodies = listener.memory();
    this.waiting = listener.responses().open(this::evict);
  }

  /** Whether all requests have been answered. */
  boolean isEmpty() {
    return requests.isEmpty();
  }

  /** Adds a request, which owns the memory of its body until it is answered or dropped. */
  void add(CallerRequest request, boolean keepAlive) {
    requests.addLast(new PendingRequest(request, keepAlive));
    if (requests.size() >= MAX_PIPELINED_REQUESTS) {
      channel.config().setAutoRead(false);
    }
    proceed();
  }

  /** Adds the response to bytes that are no acceptable request; it closes the connection. */
  void addRejected(CallerRequest request, CallerResponse response) {
    PendingRequest last = new PendingRequest(request, false);
    requests.addLast(last);
    answered(last, response);
  }

  /** Releases the memory of a response that was written, and starts requests that wait for it. */
  void sent(CallerResponse response, boolean success) {
    waiting.remove(size(response));
    if (success && awaitsCaller) {
      proceed();
    }
  }

  /** Gives up all requests, since no further response is written. */
  void drop() {
    for (PendingRequest pending : requests) {
      if (pending.response != null) {
        waiting.remove(size(pending.response));
      } else if (pending.call != null) {
        pending.call.callerDisconnected();
      }
      pending.releaseBody(bodies);
    }
    requests.clear();
  }

  /** Gives up all requests and releases all memory, since the connection is closed. */
  void close() {
    drop();
    waiting.close();
  }

  /**
   * Writes responses and starts requests until neither is possible. A request that is answered
   * while it is started continues the loop in progress: a call for each of many pipelined requests
   * would fill the stack.
   */
  private void proceed() {
    proceedAgain = true;
    if (proceeding) {
      return;
    }
    proceeding = true;
    try {
      while (proceedAgain) {
        proceedAgain = false;
        writeCompletedResponses();
        startEligibleRequests();
      }
    } finally {
      proceeding = false;
    }
  }

  private void writeCompletedResponses() {
    PendingRequest oldest = requests.peekFirst();
    while (oldest != null && oldest.response != null && !connection.closing()) {
      requests.removeFirst();
      oldest.releaseBody(bodies);
      connection.write(oldest, oldest.response);
      oldest = requests.peekFirst();
    }
    boolean accepting = !connection.closing() && requests.size() < MAX_PIPELINED_REQUESTS;
    if (accepting && !channel.config().isAutoRead()) {
      channel.config().setAutoRead(true);
    }
  }

  private void startEligibleRequests() {
    awaitsCaller = false;
    boolean oldest = true;
    int running = 0;
    for (PendingRequest pending : requests.toArray(new PendingRequest[0])) {
      boolean concurrent = handler.idempotent(pending.request);
      if (!oldest && !concurrent) {
        return;
      }
      if (pending.call == null && pending.response == null && !connection.closing()) {
        awaitsCaller = !canHoldOneMore(running);
        if (awaitsCaller) {
          return;
        }
        start(pending);
      }
      if (proceedAgain) {
        return;
      }
      if (!concurrent && pending.response == null) {
        return;
      }
      running += pending.response == null ? 1 : 0;
      oldest = false;
    }
  }

  /**
   * Whether the response of one more request may be held beside those that wait and those of the
   * running requests, each taken to be as large as the largest so far.
   */
  private boolean canHoldOneMore(int running) {
    boolean none = waiting.bytes() == 0 && running == 0;
    return none || waiting.bytes() + (running + 1) * largestResponseBytes <= MAX_WAITING_BYTES;
  }

  private void start(PendingRequest pending) {
    RequestHandler.Call call =
        handler.start(pending.request, response -> answered(pending, response));
    pending.call = call;
  }

  private void answered(PendingRequest pending, CallerResponse response) {
    pending.response = response;
    largestResponseBytes = Math.max(largestResponseBytes, size(response));
    waiting.add(size(response));
    proceed();
  }

  private void evict() {
    connection.evict(waiting.bytes());
  }

  private static long size(CallerResponse response) {
    return RESPONSE_OVERHEAD_BYTES + response.body().length;
  }
}
