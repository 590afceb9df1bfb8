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

/** Parsing of the notices that servers send in the headers of their responses. */
public final class NoticeHeadersTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private static ServerNotice read(int status, HttpHeaders headers) {
    HttpResponseStatus responseStatus = HttpResponseStatus.valueOf(status);
    return NoticeHeaders.read(
        new ServerReply.Complete(responseStatus, headers, new byte[0]), TestHeaders.NAMES);
  }

  private static ServerNotice readHeader(int status, String name, String value) {
    return read(status, new DefaultHttpHeaders().set(name, value));
  }

  @Test
  public void responsesWithoutTheHeadersHaveNoNotice() {
    assertEquals(read(200, new DefaultHttpHeaders()), ServerNotice.NONE);
  }

  @Test
  public void allThreeHeadersAreParsed() {
    HttpHeaders headers =
        new DefaultHttpHeaders()
            .set("Leaving", "1")
            .set("Request-Limit", "4.6")
            .set("Retry-After", "1.5");
    ServerNotice expected = new ServerNotice(true, OptionalDouble.of(4.6), 3 * SECOND / 2);
    assertEquals(read(503, headers), expected);
  }

  @Test
  public void leavingOfZeroMeansNotLeaving() {
    assertEquals(readHeader(200, "Leaving", "0"), ServerNotice.NONE);
  }

  /** A server that answers a request has not rejected it, even if it sends Retry-After. */
  @Test
  public void onlyRejectionsRequestAPause() {
    assertEquals(readHeader(200, "Retry-After", "3").pauseNanos(), 0);
    assertEquals(readHeader(500, "Retry-After", "3").pauseNanos(), 0);
    assertEquals(readHeader(429, "Retry-After", "3").pauseNanos(), 3 * SECOND);
  }

  @DataProvider
  public Object[][] invalidValues() {
    return new Object[][] {{""}, {"soon"}, {"-1"}, {"1e9"}, {"NaN"}, {"4,6"}, {"12345678901"}};
  }

  @Test(dataProvider = "invalidValues")
  public void invalidValuesAreIgnored(String value) {
    assertEquals(readHeader(503, "Retry-After", value), ServerNotice.NONE);
    assertEquals(readHeader(503, "Request-Limit", value), ServerNotice.NONE);
  }
}
