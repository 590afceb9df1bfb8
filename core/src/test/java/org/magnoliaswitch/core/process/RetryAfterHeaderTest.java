package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests values of the header with which servers request a pause. */
public final class RetryAfterHeaderTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  @DataProvider
  public Object[][] values() {
    return new Object[][] {
      {"3", OptionalLong.of(3_000 * MILLI)},
      {" 0.25 ", OptionalLong.of(250 * MILLI)},
      {"0", OptionalLong.of(0)},
      {null, OptionalLong.empty()},
      {"", OptionalLong.empty()},
      {"-1", OptionalLong.empty()},
      {"1e3", OptionalLong.empty()},
      {"12345678901", OptionalLong.empty()},
      {"Wed, 21 Oct 2026 07:28:00 GMT", OptionalLong.empty()},
    };
  }

  @Test(dataProvider = "values")
  public void parsesOnlySeconds(String value, OptionalLong expected) {
    assertEquals(RetryAfterHeader.nanos(value), expected);
  }
}
