package org.magnoliaswitch.front.process;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;
import org.magnoliaswitch.front.loop.Channels;
import org.magnoliaswitch.front.loop.Loop;

/** Serves a short status page over HTTP, such as readiness or metrics. */
public final class StatusListener {
  /**
   * Content of a response.
   *
   * @param healthy whether the status is 200; otherwise it is 503
   * @param text body of the response
   */
  public record Status(boolean healthy, String text) {}

  private final Loop loop;
  private final Supplier<Status> source;

  public StatusListener(Loop loop, Supplier<Status> source) {
    this.loop = loop;
    this.source = source;
  }

  /** Binds the address and returns it as bound. */
  public InetSocketAddress bind(InetSocketAddress address) {
    return (InetSocketAddress)
        new ServerBootstrap()
            .group(loop.events())
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new HttpServerCodec(), new Responder());
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel()
            .localAddress();
  }

  private final class Responder extends SimpleChannelInboundHandler<HttpObject> {
    private boolean keepAlive;

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
      if (message instanceof HttpRequest request) {
        keepAlive = HttpUtil.isKeepAlive(request);
      }
      if (message instanceof LastHttpContent) {
        respond(context);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Channels.close(context);
    }

    private void respond(ChannelHandlerContext context) {
      Status status = source.get();
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              status.healthy() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
              Unpooled.wrappedBuffer(status.text().getBytes(StandardCharsets.UTF_8)));
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
      response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
      HttpUtil.setKeepAlive(response, keepAlive);
      if (keepAlive) {
        Channels.write(context, response);
      } else {
        Channels.writeThen(context.channel(), response, () -> Channels.close(context));
      }
    }
  }
}
