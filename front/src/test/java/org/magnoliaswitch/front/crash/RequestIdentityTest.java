package org.magnoliaswitch.front.crash;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;

import org.testng.annotations.Test;

/** What makes two tries the same request. */
public final class RequestIdentityTest {
  private static final byte[] BODY = {1, 2, 3};

  private static RequestIdentity read(String target, String caller) {
    return RequestIdentity.of("GET", "h", target, caller, BODY);
  }

  @Test
  public void aRequestThatComesAgainIsTheSame() {
    assertEquals(read("/a?b=1", "10.0.0.1"), read("/a?b=1", "10.0.0.1"));
  }

  @Test
  public void everyPartCounts() {
    RequestIdentity one = read("/a", "10.0.0.1");
    assertNotEquals(read("/a?", "10.0.0.1"), one);
    assertNotEquals(read("/a", "10.0.0.2"), one);
    assertNotEquals(RequestIdentity.of("PUT", "h", "/a", "10.0.0.1", BODY), one);
    assertNotEquals(RequestIdentity.of("GET", "g", "/a", "10.0.0.1", BODY), one);
    assertNotEquals(RequestIdentity.of("GET", "h", "/a", "10.0.0.1", new byte[0]), one);
  }

  /** Parts are written with their lengths: a path that ends with a caller's address is no match. */
  @Test
  public void partsDoNotRunIntoEachOther() {
    assertNotEquals(read("/a1", "0.0.0.1"), read("/a", "10.0.0.1"));
  }

  @Test
  public void ofALongBodyTheBeginningAndTheLengthCount() {
    byte[] body = new byte[1 << 20];
    RequestIdentity one = RequestIdentity.of("POST", "h", "/a", "c", body);
    assertNotEquals(RequestIdentity.of("POST", "h", "/a", "c", new byte[(1 << 20) + 1]), one);
    body[(1 << 20) - 1] = 1;
    assertEquals(RequestIdentity.of("POST", "h", "/a", "c", body), one);
    body[0] = 1;
    assertNotEquals(RequestIdentity.of("POST", "h", "/a", "c", body), one);
  }

  @Test
  public void itIsReadAsItIsWritten() {
    RequestIdentity one = read("/a", "10.0.0.1");
    assertEquals(RequestIdentity.parse(one.toString()), one);
    assertThrows(IllegalArgumentException.class, () -> RequestIdentity.parse("12"));
    assertThrows(IllegalArgumentException.class, () -> RequestIdentity.parse("x".repeat(32)));
  }
}
