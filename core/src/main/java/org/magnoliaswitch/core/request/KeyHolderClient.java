package org.magnoliaswitch.core.request;

import org.magnoliaswitch.core.peer.Member;

/** Client for the instances that hold idempotency keys. */
@FunctionalInterface
public interface KeyHolderClient {
  /** Forwards a request to the holder of its key and waits for the answer. */
  AttemptResult forward(InboundRequest request, Member holder);
}
