package org.magnoliaswitch.front.request;

import java.util.Set;
import java.util.function.Consumer;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.load.Timeliness;

/** Finds the server for a request. */
interface ServerFinder {
  /** What a search found. */
  sealed interface Result {
    /** A server with room. */
    record Chosen(ServerState server) implements Result {}

    /**
     * There are servers, and none of them takes a request now.
     *
     * @param waitNanos least time until one may; 0 if that depends on answers of busy ones
     */
    record Full(long waitNanos) implements Result {}

    /** No server may get the request. */
    record None() implements Result {}
  }

  /**
   * Looks for a server; the result may come at once or a few milliseconds later.
   *
   * @param excluded ids of servers that the request was sent to before
   */
  void search(ServerQuery query, Set<String> excluded, Consumer<Result> found);

  /** Notes whether a request found room at its first search. */
  void sought(String service, Timeliness timeliness, boolean found);

  /** Whether a server should get the request now. */
  boolean suits(ServerState server, ServerQuery query);
}
