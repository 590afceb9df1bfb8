package org.magnoliaswitch.core.peer;

import java.io.IOException;

/** Thrown when a frame is too large, malformed or not authenticated. */
public final class FrameException extends IOException {
  /** Why the frame was refused. */
  public enum Reason {
    OVERSIZE,
    MALFORMED,
    UNAUTHENTICATED
  }

  private final Reason reason;

  public FrameException(Reason reason, String message) {
    super(message);
    this.reason = reason;
  }

  /** Why the frame was refused. */
  public Reason reason() {
    return reason;
  }
}
