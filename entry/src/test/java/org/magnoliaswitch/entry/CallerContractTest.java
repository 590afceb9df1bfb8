package org.magnoliaswitch.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.magnoliaswitch.standins.PlatformFaults;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the HTTP contract between an entry and its callers. */
public final class CallerContractTest {
  private RunningEntry entry;

  @BeforeClass
  public void start() throws Exception {
    entry = new RunningEntry();
  }

  @AfterClass(alwaysRun = true)
  public void stop() throws Exception {
    entry.close();
  }

  @AfterMethod(alwaysRun = true)
  public void clearFaults() throws Exception {
    entry.faults("{\"cutShare\": 0, \"rejectShare\": 0}");
    entry.platformFaults(PlatformFaults.NONE);
  }

  @DataProvider
  public static Object[][] requests() {
    String largeHeader = "X-Big: " + "x".repeat(20_000) + "\r\n";
    return new Object[][] {
      {"GET", "/booking/slots", "", "", 200, "executed"},
      {"GET", "/nowhere", "", "", 404, "not-executed"},
      {"DELETE", "/booking/slots", "", "", 404, "not-executed"},
      {"POST", "/booking/book", "", "b", 428, "not-executed"},
      {"POST", "/booking/book", "Idempotency-Key: a/b\r\n", "b", 400, "not-executed"},
      {
        "POST",
        "/booking/book",
        "Idempotency-Key: " + "k".repeat(300) + "\r\n",
        "b",
        400,
        "not-executed"
      },
      {
        "POST",
        "/booking/book",
        "Idempotency-Key: t-large\r\n",
        "x".repeat(300_000),
        413,
        "not-executed"
      },
      {"POST", "/booking/book", "Idempotency-Key: t-first\r\n", "b", 200, "executed"},
      {"GET", "/booking/slots", largeHeader, "", 431, ""},
      {"GET", "/.well-known/magnoliaswitch/ready", "", "", 200, "executed"},
      {
        "GET",
        "/.well-known/magnoliaswitch/outcomes?service=booking&key=none",
        "",
        "",
        404,
        "unknown"
      },
    };
  }

  @Test(dataProvider = "requests")
  public void answersWithStatusAndOutcome(
      String method, String path, String fields, String body, int status, String outcome)
      throws Exception {
    String response = entry.send(method, path, fields, body);
    assertEquals(status(response), status, response.substring(0, Math.min(300, response.length())));
    assertTrue(outcome.isEmpty() || response.contains("Request-Outcome: " + outcome), response);
  }

  /**
   * Guards against replies that an entry which has forwarded a request does not accept, and against
   * the id of the server's response beside that of the request.
   */
  @Test(dataProvider = "requests")
  public void answersCarryTheIdOfTheRequestOnce(
      String method, String path, String fields, String body, int status, String outcome)
      throws Exception {
    // A header that is too large is refused before its fields are read.
    if (!outcome.isEmpty()) {
      String response = entry.send(method, path, fields + "X-Request-Id: id-1\r\n", body);
      assertEquals(response.split("X-Request-Id: ", -1).length, 2, response);
      assertTrue(response.contains("X-Request-Id: id-1\r\n"), response);
    }
  }

  /**
   * The body is longer than all buffers between caller and entry. If the entry responded before it
   * has read the body, the connection would be reset, and the caller would not know whether the
   * booking was executed.
   */
  @Test
  public void aBodyThatIsTooLargeIsReadBeforeItIsRejected() throws Exception {
    String response =
        entry.send("POST", "/booking/book", "Idempotency-Key: t-larger\r\n", "x".repeat(8_000_000));
    assertEquals(status(response), 413);
    assertTrue(response.contains("Request-Outcome: not-executed"), response);
  }

  @DataProvider
  public static Object[][] malformed() {
    return new Object[][] {
      {
        "GET /booking/slots HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
      },
      {
        "GET /booking/slots HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc"
      },
      {"GET /booking/slots HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n"},
      {"GET /booking/slots HTTP/1.1\r\n\r\n"},
      {"\0\1\2 nonsense\r\n\r\n"},
    };
  }

  @Test(dataProvider = "malformed")
  public void rejectsAmbiguousAndMalformedRequests(String request) throws Exception {
    assertEquals(status(entry.sendRaw(request)), 400);
  }

  /** A second request with the same key receives the stored response. */
  @Test
  public void replaysTheWholeResponseToTheSameKey() throws Exception {
    String first = book("t-replay", "body");
    String again = book("t-replay", "body");
    assertTrue(again.contains("Idempotency-Replayed: true"), again);
    assertEquals(body(again), body(first));
  }

  @Test
  public void rejectsAKeyThatIsReusedWithAnotherBody() throws Exception {
    book("t-mismatch", "one");
    assertEquals(status(book("t-mismatch", "two")), 422);
  }

  @Test
  public void theOutcomeOfAKeyCanBeQueriedLater() throws Exception {
    book("t-later", "body");
    assertTrue(
        entry
            .send("GET", "/.well-known/magnoliaswitch/outcomes?service=booking&key=t-later", "", "")
            .contains("Request-Outcome: executed"));
  }

  /**
   * The server executes the booking, but its response is truncated. The outcome reported to the
   * caller is unknown, and a retry with the same key is not sent to a server.
   */
  @Test
  public void aBookingWithATruncatedResponseStaysUnknown() throws Exception {
    entry.faults("{\"cutShare\": 1}");
    assertTrue(book("t-cut", "body").contains("Request-Outcome: unknown"));
    entry.faults("{\"cutShare\": 0}");
    assertTrue(book("t-cut", "body").contains("Request-Outcome: unknown"));
  }

  /** Guards against reads without a body that are not sent again when their server fails. */
  @Test
  public void readsWithoutABodyAreSentAgain() throws Exception {
    entry.faults("{\"cutShare\": 1}");
    String response = entry.send("GET", "/booking/slots", "Operation-Id: read-cut\r\n", "");
    assertEquals(status(response), 502, response);
    String executions = entry.executions();
    assertTrue(executions.contains("read-cut 3\n"), executions);
  }

  /** All servers reject the booking, so it was not executed and its key can be used again. */
  @Test
  public void aRejectedBookingLeavesItsKeyUsable() throws Exception {
    entry.faults("{\"rejectShare\": 1}");
    String rejected = book("t-refused", "body");
    assertTrue(rejected.contains("Request-Outcome: not-executed"), rejected);
    assertTrue(rejected.contains("Retry-After: "), rejected);
    entry.faults("{\"rejectShare\": 0}");
    assertEquals(status(book("t-refused", "body")), 200);
  }

  /**
   * While the platform's table is unavailable, requests with issued keys are served, and requests
   * with keys chosen by the caller are rejected without waiting for the table.
   */
  @Test
  public void issuedKeysWorkWhileTheTableIsUnavailable() throws Exception {
    String issued = body(entry.send("GET", "/.well-known/magnoliaswitch/keys", "", "")).strip();
    entry.platformFaults(new PlatformFaults(true, 0, 0, 0, 0, 0));
    assertEquals(status(book(issued, "body")), 200);
    String callerKey = book("t-own-outage", "body");
    assertEquals(status(callerKey), 503);
    assertTrue(callerKey.contains("Request-Outcome: unknown"), callerKey);
    // The entry must not report its own failed claim as the outcome of the key, because another
    // entry may have claimed the key and executed the request. In one run, 97 callers received that
    // wrong outcome.
    assertFalse(
        entry
            .send(
                "GET",
                "/.well-known/magnoliaswitch/outcomes?service=booking&key=t-own-outage",
                "",
                "")
            .contains("Request-Outcome: not-executed"));
    entry.platformFaults(PlatformFaults.NONE);
    assertEquals(status(book("t-own-outage", "body")), 200);
  }

  /**
   * Guards against a 404 for a service that an isolated entry does not know yet. The caller would
   * take it as final, so the entry must answer with 503.
   */
  @Test(timeOut = 60_000)
  public void anIsolatedEntryDoesNotReportAnUnknownPath() throws Exception {
    entry.platformFaults(new PlatformFaults(true, 0, 0, 0, 0, 0));
    String response = entry.send("GET", "/nowhere", "", "");
    while (status(response) == 404) {
      response = entry.send("GET", "/nowhere", "", "");
    }
    assertEquals(status(response), 503);
    assertTrue(response.contains("Request-Outcome: not-executed"), response);
    entry.platformFaults(PlatformFaults.NONE);
    while (status(response) == 503) {
      response = entry.send("GET", "/nowhere", "", "");
    }
    assertEquals(status(response), 404);
  }

  @Test
  public void onlyEndToEndFieldsAreForwarded() throws Exception {
    String response =
        entry.send("GET", "/booking/slots", "Keep-Alive: 5\r\nOperation-Id: op-1\r\n", "");
    assertTrue(body(response).startsWith("operation=op-1 "), response);
    assertFalse(response.contains("Keep-Alive"), response);
  }

  @Test
  public void largeResponseIsForwardedWhole() throws Exception {
    assertEquals(
        body(entry.send("GET", "/booking/slots?size=1000000", "", "")).length(), 1_000_000);
  }

  /** Randomly damaged requests neither block the listener nor cause a malformed response. */
  @Test
  public void survivesDamagedRequests() throws Exception {
    SplittableRandom random = new SplittableRandom(5);
    String valid =
        "POST /booking/book HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            + "Idempotency-Key: fuzz\r\nContent-Length: 4\r\n\r\nbody";
    for (int i = 0; i < 200; i++) {
      StringBuilder damaged = new StringBuilder(valid);
      for (int n = 0; n <= random.nextInt(3); n++) {
        damaged.setCharAt(random.nextInt(60), (char) random.nextInt(256));
      }
      try {
        String response = entry.sendRawAndShutDownOutput(damaged + "\r\n\r\n");
        assertTrue(response.isEmpty() || response.startsWith("HTTP/1.1 "), response);
      } catch (java.net.SocketException e) {
        // The listener closed the connection with unread bytes, which resets it.
      }
    }
    assertEquals(status(entry.send("GET", "/booking/slots", "", "")), 200);
  }

  private String book(String key, String body) throws Exception {
    return entry.send("POST", "/booking/book", "Idempotency-Key: " + key + "\r\n", body);
  }

  private static int status(String response) {
    return response.length() < 12 ? 0 : Integer.parseInt(response.substring(9, 12));
  }

  private static String body(String response) {
    return response.substring(response.indexOf("\r\n\r\n") + 4);
  }
}
