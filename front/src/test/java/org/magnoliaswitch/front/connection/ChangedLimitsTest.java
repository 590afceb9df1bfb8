package org.magnoliaswitch.front.connection;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.version.CallerLimits;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that changed limits apply to connections opened under an earlier configuration. */
public final class ChangedLimitsTest {
  private static final long LONG_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(1);
  private static final long SHORT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int SMALL_BYTES = 500;
  private static final int LARGE_BYTES = 20_000;

  private static final List<String> REJECTIONS = new CopyOnWriteArrayList<>();

  private static final RequestHandler ACCEPT_ALL =
      new RequestHandler() {
        @Override
        public boolean idempotent(CallerRequest request) {
          return true;
        }

        @Override
        public Call start(CallerRequest request, Consumer<CallerResponse> response) {
          response.accept(
              new CallerResponse(HttpResponseStatus.OK, new DefaultHttpHeaders(), new byte[0]));
          return () -> {};
        }

        @Override
        public void rejected(HttpResponseStatus status, String reason, Optional<HttpRequest> head) {
          REJECTIONS.add(
              status.code() + " " + reason + " " + head.map(HttpRequest::uri).orElse("-"));
        }
      };

  private final AtomicReference<CallerLimits> limits = new AtomicReference<>();
  private Loop loop;
  private Socket caller;

  @BeforeMethod
  public void open() throws IOException {
    REJECTIONS.clear();
    limits.set(new CallerLimits(SMALL_BYTES, SMALL_BYTES, LONG_TIMEOUT_NANOS, LONG_TIMEOUT_NANOS));
    loop = Loop.start();
    CallerListener listener = new CallerListener(loop, Clocks.system(), ACCEPT_ALL, limits::get);
    listener.bind(new InetSocketAddress("127.0.0.1", 0));
    caller = new Socket();
    caller.connect(listener.address());
    caller.setSoTimeout(TIMEOUT_MILLIS);
    assertEquals(post("", ""), "200");
  }

  @AfterMethod
  public void close() throws IOException {
    caller.close();
    loop.stop();
  }

  private String post(String header, String body) throws IOException {
    String request =
        "POST / HTTP/1.1\r\nHost: h\r\nX: %s\r\nContent-Length: %d\r\n\r\n%s"
            .formatted(header, body.length(), body);
    caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    return readStatus();
  }

  private String readStatus() throws IOException {
    InputStream in = caller.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return "closed";
      }
      head.append((char) next);
    }
    return head.toString().split(" ", 3)[1];
  }

  /** Guards against rejecting valid requests by limits that are no longer in force. */
  @Test
  public void raisedLimitsApplyToOpenConnections() throws IOException {
    limits.set(new CallerLimits(LARGE_BYTES, LARGE_BYTES, LONG_TIMEOUT_NANOS, LONG_TIMEOUT_NANOS));
    assertEquals(post("", "b".repeat(2 * SMALL_BYTES)), "200");
    assertEquals(post("h".repeat(2 * SMALL_BYTES), ""), "200");
  }

  @Test
  public void loweredLimitsApplyToOpenConnections() throws IOException {
    limits.set(
        new CallerLimits(SMALL_BYTES, SMALL_BYTES / 2, LONG_TIMEOUT_NANOS, LONG_TIMEOUT_NANOS));
    assertEquals(post("", "b".repeat(SMALL_BYTES)), "413");
  }

  /** Guards against rejections that leave no trace in the logs. */
  @Test
  public void rejectedBodyIsReported() throws IOException {
    post("", "b".repeat(2 * SMALL_BYTES));
    assertEquals(REJECTIONS, List.of("413 body /"));
  }

  @Test
  public void rejectedHeadersAreReported() throws IOException {
    assertEquals(post("h".repeat(2 * SMALL_BYTES), ""), "400");
    assertEquals(REJECTIONS, List.of("400 TooLongHttpHeaderException /"));
  }

  @Test
  public void changedIdleTimeoutAppliesToOpenConnections() throws IOException {
    limits.set(new CallerLimits(SMALL_BYTES, SMALL_BYTES, LONG_TIMEOUT_NANOS, SHORT_TIMEOUT_NANOS));
    assertEquals(readStatus(), "closed");
  }
}
