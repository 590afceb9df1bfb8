package org.magnoliaswitch.front.connection;

import io.netty.handler.codec.DecoderException;

/** Thrown for a head that contains the status line of another one. */
final class JoinedHeadsException extends DecoderException {
  private static final long serialVersionUID = 1L;

  JoinedHeadsException() {
    super("a second status line in the head");
  }
}
