package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.magnoliaswitch.core.peer.PeerSecret;
import org.magnoliaswitch.core.testing.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests keys that name the incarnation that issued them. */
public final class KeyIssuerTest {
  private final ManualClock time = new ManualClock();
  private final KeyIssuer issuer =
      new KeyIssuer("abc", new PeerSecret(bytes("0123456789abcdef")), time.clocks());

  @Test
  public void namesItsIncarnation() {
    assertEquals(issuer.parse(issuer.issue()).orElseThrow().incarnation(), "abc");
  }

  @Test
  public void expiresByTheMonotonicClock() {
    KeyIssuer.IssuedKey key = issuer.parse(issuer.issue()).orElseThrow();
    assertFalse(issuer.expired(key, 60));
    time.advance(Duration.ofSeconds(60));
    assertTrue(issuer.expired(key, 60));
  }

  @DataProvider
  public static Object[][] foreign() {
    return new Object[][] {
      {"my-own-key"}, {"mk1.abc.1.1.0000"}, {"mk1.abc.!.1.0"}, {"mk1"}, {"mk1...."}, {""},
    };
  }

  @Test(dataProvider = "foreign")
  public void doesNotRecogniseOtherTexts(String key) {
    assertTrue(issuer.parse(key).isEmpty());
  }

  @Test
  public void aKeyMovedToAnotherIncarnationIsNotRecognised() {
    assertTrue(issuer.parse(issuer.issue().replace("abc", "abd")).isEmpty());
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
