package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.magnoliaswitch.front.connection.ServerReply;
import org.magnoliaswitch.front.load.ServerNotice;
import org.magnoliaswitch.front.testing.TestHeaders;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What a server asks for in the headers of its answers. */
public final class NoticeHeadersTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private static ServerNotice read(int status, HttpHeaders headers) {
    HttpResponseStatus answered = HttpResponseStatus.valueOf(status);
    return NoticeHeaders.read(
        new ServerReply.Complete(answered, headers, new byte[0]), TestHeaders.NAMES);
  }

  private static ServerNotice with(int status, String name, String value) {
    return read(status, new DefaultHttpHeaders().set(name, value));
  }

  @Test
  public void anAnswerWithoutTheHeadersAsksForNothing() {
    assertEquals(read(200, new DefaultHttpHeaders()), ServerNotice.NONE);
  }

  @Test
  public void allThreeAreRead() {
    HttpHeaders headers =
        new DefaultHttpHeaders()
            .set("Leaving", "1")
            .set("Request-Limit", "4.6")
            .set("Retry-After", "1.5");
    ServerNotice expected = new ServerNotice(true, OptionalDouble.of(4.6), 3 * SECOND / 2);
    assertEquals(read(503, headers), expected);
  }

  @Test
  public void oneThatSaysNoDoesNotLeave() {
    assertEquals(with(200, "Leaving", "0"), ServerNotice.NONE);
  }

  /** A server that answers a request has not turned it away, whatever it tells its caller. */
  @Test
  public void onlyARequestThatIsTurnedAwayBringsAPause() {
    assertEquals(with(200, "Retry-After", "3").pauseNanos(), 0);
    assertEquals(with(500, "Retry-After", "3").pauseNanos(), 0);
    assertEquals(with(429, "Retry-After", "3").pauseNanos(), 3 * SECOND);
  }

  @DataProvider
  public Object[][] unreadable() {
    return new Object[][] {{""}, {"soon"}, {"-1"}, {"1e9"}, {"NaN"}, {"4,6"}, {"12345678901"}};
  }

  @Test(dataProvider = "unreadable")
  public void aValueThatIsNoNumberAsksForNothing(String value) {
    assertEquals(with(503, "Retry-After", value), ServerNotice.NONE);
    assertEquals(with(503, "Request-Limit", value), ServerNotice.NONE);
  }
}
