package org.magnoliaswitch.front.connection;

import org.jspecify.annotations.Nullable;

/** A request of a caller's connection whose response has not been written yet. */
final class PendingRequest {
  final CallerRequest request;
  final boolean keepAlive;
  RequestHandler.@Nullable Call call;
  @Nullable CallerResponse response;

  PendingRequest(CallerRequest request, boolean keepAlive) {
    this.request = request;
    this.keepAlive = keepAlive;
  }

  /** Releases the memory of the body once the request is answered or given up. */
  void releaseBody(BodyMemory memory) {
    memory.release(request.body().length);
  }
}
