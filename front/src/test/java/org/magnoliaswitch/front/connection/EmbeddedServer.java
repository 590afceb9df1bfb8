package org.magnoliaswitch.front.connection;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliaswitch.front.testing.ManualClock;
import org.magnoliaswitch.front.testing.TestHeaders;

/** A connection to a server whose bytes the test writes. */
final class EmbeddedServer implements ServerConnection.Owner {
  final EmbeddedChannel channel;
  final ServerConnection connection;
  final List<ServerReply> replies = new ArrayList<>();
  final List<UnmatchedBytes> unmatched = new ArrayList<>();
  int released;
  int closed;

  EmbeddedServer() {
    ServerResponseDecoder decoder = new ServerResponseDecoder();
    channel = new EmbeddedChannel(decoder, new HttpRequestEncoder());
    connection =
        new ServerConnection(
            channel,
            this,
            new ManualClock().clocks(),
            TestHeaders.NAMES,
            new BodyMemory(32 << 20),
            Optional.empty());
    decoder.connection(connection);
    channel.pipeline().addLast(connection);
  }

  @Override
  public void released(ServerConnection idle) {
    released++;
  }

  @Override
  public void closed(ServerConnection unusable) {
    closed++;
  }

  @Override
  public void unmatched(ServerConnection source, UnmatchedBytes bytes) {
    unmatched.add(bytes);
  }

  void send(HttpMethod method, String id) {
    connection.send(
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"),
        id.isEmpty() ? Optional.empty() : Optional.of(id),
        replies::add);
    channel.releaseOutbound();
  }

  /** The server writes bytes that arrive at once, unless the connection has been closed. */
  void receive(String bytes) {
    if (!channel.isOpen()) {
      return;
    }
    channel.writeInbound(Unpooled.wrappedBuffer(bytes.getBytes(StandardCharsets.ISO_8859_1)));
  }

  List<Integer> statuses() {
    return replies.stream()
        .map(reply -> reply instanceof ServerReply.Complete all ? all.status().code() : 0)
        .toList();
  }

  /** A sound response with the id of a request. */
  static String response(String id) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: 2\r\n\r\nab";
  }

  /** A response whose header of the id is the first or the last one. */
  static String response(String status, String id, boolean idFirst) {
    String echoed = "Request-Id: " + id + "\r\n";
    String length = "Content-Length: 2\r\n";
    String headers = idFirst ? echoed + length : length + echoed;
    return "HTTP/1.1 " + status + "\r\n" + headers + "\r\nab";
  }
}
