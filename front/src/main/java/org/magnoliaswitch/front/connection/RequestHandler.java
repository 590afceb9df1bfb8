package org.magnoliaswitch.front.connection;

import java.util.function.Consumer;

/** Turns requests of callers into answers. */
public interface RequestHandler {
  /** A request in progress, as its caller's connection sees it. */
  interface Call {
    /** The caller has left: nobody waits for the answer any more. */
    void callerLeft();
  }

  /** Whether the request may run more than once, and so beside others of its connection. */
  boolean idempotent(CallerRequest request);

  /** Starts a request; the answer is given exactly once unless the caller leaves. */
  Call start(CallerRequest request, Consumer<CallerAnswer> answer);
}
