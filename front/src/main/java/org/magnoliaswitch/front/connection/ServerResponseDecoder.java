package org.magnoliaswitch.front.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.net.ProtocolException;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the responses of a server, and sees each byte before it becomes a part of one.
 *
 * <p>Bytes that arrive while no response is expected are reported to the connection, also if they
 * complete no message: kept here, they would become the beginning of the next response. Such bytes
 * may also arrive just after the next request was written. A head that contains the status line of
 * another one is therefore malformed.
 *
 * <p>A response to a HEAD request has no body. A response without a length is complete only if its
 * server ended the connection, and not if the connection was cut off.
 */
final class ServerResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_HEAD_BYTES = 64 * 1024;
  private static final int MAX_STATUS_LINE_BYTES = 8 * 1024;

  private @Nullable ServerConnection connection;
  private boolean inputEnded;

  ServerResponseDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxHeaderSize(MAX_HEAD_BYTES)
            .setMaxInitialLineLength(MAX_STATUS_LINE_BYTES));
  }

  /** Sets the connection whose responses are decoded. */
  void connection(ServerConnection attached) {
    connection = attached;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (connection != null && !connection.expectsResponse()) {
      in.skipBytes(in.readableBytes());
      connection.unsolicitedBytes();
      return;
    }
    int before = out.size();
    int readable = in.readableBytes();
    super.decode(context, in, out);
    if (connection != null) {
      connection.decoded(readable - in.readableBytes());
    }
    for (Object message : out.subList(before, out.size())) {
      if (message instanceof HttpResponse head) {
        checkHead(head);
      }
    }
  }

  private static void checkHead(HttpResponse head) {
    if (ResponseHeads.containStatusLine(head)) {
      head.setDecoderResult(DecoderResult.failure(new JoinedHeadsException()));
    } else if (ResponseHeads.hasUnknownStatusLine(head) && head.decoderResult().isSuccess()) {
      head.setDecoderResult(DecoderResult.failure(new ProtocolException("unknown status line")));
    }
  }

  /**
   * Refuses a header line without a colon behind its name, which the decoder of responses would
   * otherwise take for a header without a value: the head is spoiled, and its status, too, may be.
   */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    if (line[start + length] != ':') {
      throw new IllegalArgumentException("no colon behind the name of a header");
    }
    return super.splitHeaderName(line, start, length);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    inputEnded |= event instanceof ChannelInputShutdownEvent;
    super.userEventTriggered(context, event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    if (!inputEnded && connection != null) {
      // The decoder would take the end of the connection for that of the response.
      connection.cutOff();
    }
    super.channelInactive(context);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return (connection != null && connection.headPending()) || super.isContentAlwaysEmpty(message);
  }
}
