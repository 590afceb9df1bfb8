package org.magnoliaswitch.core.request;

import org.magnoliaswitch.core.peer.Member;

/** Way to the instances that hold keys. */
@FunctionalInterface
public interface KeyHolderClient {
  /** Sends a request to the holder of its key and takes its whole answer. */
  AttemptResult forward(InboundRequest request, Member holder);
}
