package org.magnoliaswitch.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks what callers and backend servers see when the platform is restored from a copy over HTTP
 * and the entry that has executed a booking is replaced.
 */
public final class RestoredPlatformContractTest {
  private RunningEntry entry;

  @BeforeMethod
  public void start() throws Exception {
    entry = new RunningEntry();
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws Exception {
    entry.close();
  }

  private String book(String key) throws Exception {
    return entry.send(
        "POST",
        "/booking/book",
        "Idempotency-Key: " + key + "\r\nOperation-Id: op-" + key + "\r\n",
        "body");
  }

  private static int status(String response) {
    return Integer.parseInt(response.substring(9, 12));
  }

  private void assertExecutedOnce(String key) throws Exception {
    String executions = entry.executions();
    assertTrue(executions.contains("op-" + key + " 1\n"), executions);
  }

  /** Each row: restores, and whether the entry ends before the first of them. */
  @DataProvider
  public Object[][] restores() {
    return new Object[][] {{1, false}, {1, true}, {2, false}, {2, true}};
  }

  /**
   * Guards against a second execution of a booking whose claim the copy lacks: its entry is gone,
   * and the next one knows no peer that could tell.
   */
  @Test(dataProvider = "restores")
  public void bookingWithALostClaimIsNotExecutedAgain(int restores, boolean endsBefore)
      throws Exception {
    entry.platform().copy();
    assertEquals(status(book("k")), 200);
    if (endsBefore) {
      entry = entry.replace();
    }
    for (int i = 0; i < restores; i++) {
      entry.platform().restore();
    }
    if (!endsBefore) {
      entry = entry.replace();
    }
    String again = book("k");
    assertEquals(status(again), 503, again);
    assertFalse(again.contains("Request-Outcome: executed"), again);
    assertExecutedOnce("k");
  }

  /** Guards against a booking that is executed again by the entry that has executed it. */
  @Test
  public void bookingIsAnsweredFromMemoryAfterARestore() throws Exception {
    entry.platform().copy();
    assertEquals(status(book("k")), 200);
    entry.platform().restore();
    String again = book("k");
    assertTrue(again.contains("Idempotency-Replayed: true"), again);
    assertExecutedOnce("k");
  }

  /** Guards against callers that cannot book at all after a restore. */
  @Test
  public void issuedKeysAreServedAfterARestore() throws Exception {
    entry.platform().copy();
    entry.platform().restore();
    entry = entry.replace();
    String response = entry.send("GET", "/.well-known/magnoliaswitch/keys", "", "");
    String key = response.substring(response.indexOf("\r\n\r\n") + 4).strip();
    String booked = book(key);
    assertEquals(status(booked), 200, booked);
  }
}
