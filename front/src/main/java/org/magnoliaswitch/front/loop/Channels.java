package org.magnoliaswitch.front.loop;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundInvoker;

/**
 * Channel operations whose futures nobody needs: a write or close that fails ends the channel, and
 * its handler is told of that.
 */
public final class Channels {
  private Channels() {}

  /** Closes a channel. */
  public static void close(ChannelOutboundInvoker channel) {
    var unused = channel.close();
  }

  /** Writes and flushes a message. */
  public static void write(ChannelOutboundInvoker channel, Object message) {
    var unused = channel.writeAndFlush(message);
  }

  /** Closes a channel once a last message is written. */
  public static void writeThen(Channel channel, Object message, Runnable action) {
    var unused = channel.writeAndFlush(message).addListener(done -> action.run());
  }
}
