package org.magnoliaswitch.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import org.magnoliaswitch.core.version.InvalidDeclarationException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks parsing and validation of the settings file. */
public final class EntrySettingsTest {
  private static final String VALID =
      """
      {"instance": "entry-1", "dataCentre": "riga-1", "host": "127.0.0.1", "callerPort": 7100,
       "operatorPort": 7101, "peerPort": 7102, "seeds": ["127.0.0.1:7105"],
       "platform": "http://127.0.0.1:7700", "platformTimeoutMillis": 500, "tokenFile": "token",
       "secretFile": "secret", "callersBalancerResends": true, "stopUnreadyMillis": 1000,
       "stopLimitMillis": 5000, "tls": null}
      """;

  @Test
  public void readsValidSettings() throws InvalidDeclarationException {
    assertEquals(
        EntrySettings.parse("entry.json", bytes(VALID)).seedAddresses().getFirst().port(), 7105);
  }

  @DataProvider
  public static Object[][] faults() {
    return new Object[][] {
      {
        "\"callerPort\": 7100",
        "\"callerPort\": 70000",
        "entry.json: callerPort: 70000.0",
        "1.0 to 65535.0"
      },
      {"\"callerPort\": 7100", "\"callerPort\": \"x\"", "entry.json: callerPort", ""},
      {
        "\"callerPort\": 7100",
        "\"callerPorts\": 7100",
        "callerPorts",
        "expected one of the properties"
      },
      {
        "\"callerPort\": 7100",
        "\"callerPort\": 7101",
        "the same port for two listeners",
        "three different ports"
      },
      {"\"host\": \"127.0.0.1\"", "\"host\": \"localhost\"", "host: \"localhost\"", "matches"},
      {"127.0.0.1:7105", "nowhere", "seeds[0]: \"nowhere\"", "matches"},
      {"\"stopLimitMillis\": 5000,", "", "stopLimitMillis", ""},
      {"\"tls\": null}", "\"tls\": null", "valid JSON", ""},
    };
  }

  @Test(dataProvider = "faults")
  public void messageNamesPathValueAndAllowedValues(
      String valid, String invalid, String expectedPath, String allowed) {
    assertTrue(VALID.contains(valid), valid);
    InvalidDeclarationException exception =
        expectThrows(
            InvalidDeclarationException.class,
            () -> EntrySettings.parse("entry.json", bytes(VALID.replace(valid, invalid))));
    String message = String.valueOf(exception.getMessage());
    assertTrue(message.contains(expectedPath) && message.contains(allowed), message);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
