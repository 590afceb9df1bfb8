package org.magnoliaswitch.front.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.magnoliaswitch.front.loop.Channels;

/**
 * Frames of a connection between two instances: a length and that many bytes. The first frame in
 * each direction is a {@link RelayMessage}, the others carry the bytes of the relayed connection.
 * After an empty frame, the next one carries a {@link RelaySignal}. Towards an instance of a
 * release that knows no signals, the empty frame alone announces the close, and an end that is no
 * ordinary one is told by a reset.
 */
final class RelayPipeline {
  private static final int LENGTH_BYTES = 4;

  /** Bytes of one frame, so that neither side has to hold a whole body before it passes it on. */
  private static final int MAX_FRAME_BYTES = 64 << 10;

  private RelayPipeline() {}

  /** Installs the framing and the handler of the first message. */
  static void install(Channel channel, ChannelHandler handler) {
    channel
        .pipeline()
        .addLast(
            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
            new FrameWriter(),
            handler);
  }

  /** Writes a message. */
  static void write(Channel channel, RelayMessage message) {
    Channels.write(channel, Unpooled.wrappedBuffer(message.encode()));
  }

  /** Writes a signal. */
  static void write(Channel channel, RelaySignal signal, boolean signals) {
    if (signals) {
      Channels.write(channel, Unpooled.EMPTY_BUFFER);
      Channels.write(channel, Unpooled.wrappedBuffer(new byte[] {signal.code()}));
    } else if (signal == RelaySignal.CLOSE_ANNOUNCED) {
      Channels.write(channel, Unpooled.EMPTY_BUFFER);
    }
  }

  /** Runs an action once everything that was written before has been sent, or cannot be sent. */
  static void afterWrites(Channel channel, Runnable action) {
    ChannelHandlerContext belowFrames = channel.pipeline().context(FrameWriter.class);
    var unused = belowFrames.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> action.run());
  }

  /** Splits what is written into frames. */
  private static final class FrameWriter extends ChannelOutboundHandlerAdapter {
    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      ByteBuf bytes = (ByteBuf) message;
      while (bytes.readableBytes() > MAX_FRAME_BYTES - LENGTH_BYTES) {
        ByteBuf part = bytes.readRetainedSlice(MAX_FRAME_BYTES - LENGTH_BYTES);
        writeFrame(context, part, context.newPromise());
      }
      writeFrame(context, bytes, promise);
    }

    private static void writeFrame(
        ChannelHandlerContext context, ByteBuf bytes, ChannelPromise promise) {
      ByteBuf header = Unpooled.copyInt(bytes.readableBytes());
      var unused = context.write(Unpooled.wrappedBuffer(header, bytes), promise);
    }
  }
}
