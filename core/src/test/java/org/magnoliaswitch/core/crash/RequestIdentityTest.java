package org.magnoliaswitch.core.crash;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests which requests have the same identity. */
public final class RequestIdentityTest {
  private static final byte[] BODY = {1, 2, 3};

  private static RequestIdentity identityOf(String target, String caller) {
    return RequestIdentity.ofContent("GET", "h", target, BODY).forCaller(caller);
  }

  @Test
  public void aRepeatedRequestHasTheSameIdentity() {
    assertEquals(identityOf("/a?b=1", "10.0.0.1"), identityOf("/a?b=1", "10.0.0.1"));
  }

  @Test
  public void everyPartChangesTheIdentity() {
    RequestIdentity one = identityOf("/a", "10.0.0.1");
    assertNotEquals(identityOf("/a?", "10.0.0.1"), one);
    assertNotEquals(identityOf("/a", "10.0.0.2"), one);
    assertNotEquals(RequestIdentity.ofContent("PUT", "h", "/a", BODY).forCaller("10.0.0.1"), one);
    assertNotEquals(RequestIdentity.ofContent("GET", "g", "/a", BODY).forCaller("10.0.0.1"), one);
    assertNotEquals(
        RequestIdentity.ofContent("GET", "h", "/a", new byte[0]).forCaller("10.0.0.1"), one);
  }

  /**
   * Parts are hashed with their lengths, so a path that ends with the start of an address does not
   * match.
   */
  @Test
  public void partsAreSeparated() {
    assertNotEquals(identityOf("/a1", "0.0.0.1"), identityOf("/a", "10.0.0.1"));
    assertNotEquals(
        RequestIdentity.ofContent("GET", "h/", "a", BODY),
        RequestIdentity.ofContent("GET", "h", "/a", BODY));
  }

  @Test
  public void onlyTheBeginningAndTheLengthOfALongBodyCount() {
    byte[] body = new byte[1 << 20];
    RequestIdentity one = RequestIdentity.ofContent("POST", "h", "/a", body);
    assertNotEquals(RequestIdentity.ofContent("POST", "h", "/a", new byte[(1 << 20) + 1]), one);
    body[(1 << 20) - 1] = 1;
    assertEquals(RequestIdentity.ofContent("POST", "h", "/a", body), one);
    body[0] = 1;
    assertNotEquals(RequestIdentity.ofContent("POST", "h", "/a", body), one);
  }

  @Test
  public void tellsWhetherItIsCallerSpecific() {
    RequestIdentity content = RequestIdentity.ofContent("GET", "h", "/a", BODY);
    assertFalse(content.callerSpecific());
    assertTrue(content.forCaller("10.0.0.1").callerSpecific());
  }

  @Test
  public void parsesItsOwnOutput() {
    RequestIdentity one = identityOf("/a", "10.0.0.1");
    assertEquals(RequestIdentity.parse(one.toString()), one);
    assertThrows(IllegalArgumentException.class, () -> RequestIdentity.parse("12"));
    assertThrows(IllegalArgumentException.class, () -> RequestIdentity.parse("x".repeat(32)));
  }
}
