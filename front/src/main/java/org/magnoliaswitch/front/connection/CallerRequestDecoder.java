package org.magnoliaswitch.front.connection;

import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import org.magnoliaswitch.front.version.CallerLimits;

/**
 * Decodes requests, and fails those with both {@code Content-Length} and {@code Transfer-Encoding}.
 *
 * <p>The next hop could use the other length and interpret the rest of the body as a request that
 * no caller sent (request smuggling).
 */
final class CallerRequestDecoder extends HttpRequestDecoder {
  private static final int MAX_REQUEST_LINE_BYTES = 8 * 1024;

  private final int maxHeaderBytes;

  CallerRequestDecoder(CallerLimits limits) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
            .setMaxHeaderSize(limits.maxHeaderBytes()));
    this.maxHeaderBytes = limits.maxHeaderBytes();
  }

  int maxHeaderBytes() {
    return maxHeaderBytes;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    message.setDecoderResult(
        DecoderResult.failure(new DecoderException("both Content-Length and Transfer-Encoding")));
  }
}
