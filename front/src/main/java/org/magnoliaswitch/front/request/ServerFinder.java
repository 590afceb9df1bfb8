package org.magnoliaswitch.front.request;

import java.util.Set;
import java.util.function.Consumer;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.load.Timeliness;

/** Selects backend servers with free capacity for requests. */
interface ServerFinder {
  /** The selected server, or why none is selected. */
  sealed interface Result {
    /** A server with free capacity. */
    record Chosen(ServerState server) implements Result {}

    /**
     * There are servers, but none of them accepts a request now.
     *
     * @param waitNanos least time until one may; 0 if that depends on the responses of busy servers
     */
    record Full(long waitNanos) implements Result {}

    /** No server may get the request. */
    record None() implements Result {}
  }

  /**
   * Searches for a server; the result may be passed at once or a few milliseconds later.
   *
   * @param excluded ids of servers to which the request was sent before
   */
  void search(ServerQuery query, Set<String> excluded, Consumer<Result> found);

  /** Records whether a request found free capacity at its first search. */
  void recordFirstSearch(String service, Timeliness timeliness, boolean found);

  /** Whether a server should get the request now. */
  boolean isSuitable(ServerState server, ServerQuery query);
}
