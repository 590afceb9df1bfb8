package org.magnoliaswitch.core.version;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.magnoliaswitch.core.testing.Declarations;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the parsing and validation of declarations. */
public final class SnapshotParserTest {
  /** Valid declarations. */
  public static final class ValidDeclarations {
    @Test
    public void prefixOfWholeSegmentsSelectsTheService() throws InvalidDeclarationException {
      Snapshot snapshot =
          SnapshotParser.parse(
              3, "d", Declarations.parts(Declarations.profile(), Declarations.service(8001)));
      assertEquals(snapshot.serviceOf("/booking/book?x=1").orElseThrow().name(), "booking");
      assertTrue(snapshot.serviceOf("/bookings").isEmpty());
    }
  }

  /** Invalid declarations and the file, path and value that the message names. */
  public static final class InvalidDeclarations {
    @DataProvider
    public static Object[][] invalidValues() {
      return new Object[][] {
        {
          "profiles/standard.json",
          "\"maxQueue\":100",
          "\"maxQueue\":-1",
          "admission.maxQueue: -1.0"
        },
        {
          "profiles/standard.json",
          "\"budgetRatio\":0.1",
          "\"budgetRatio\":2",
          "retry.budgetRatio: 2.0"
        },
        {"profiles/standard.json", "\"maxQueue\":100", "\"maxQueu\":100", "admission.maxQueu"},
        {"profiles/standard.json", "\"maxQueue\":100", "\"maxQueue\":\"x\"", "admission.maxQueue"},
        {
          "profiles/standard.json",
          "\"probesPerSecond\":5.0",
          "\"probesPerSecond\":0",
          "measuring.probesPerSecond"
        },
        {"profiles/standard.json", "\"name\":\"read\"", "\"name\":\"book\"", "kinds[1].name"},
        {"profiles/standard.json", "\"harmWeight\":1.0", "\"harmWeight\":0", "kinds[1].harmWeight"},
        {
          "services/booking.json",
          "\"profile\":\"standard\"",
          "\"profile\":\"none\"",
          "profile: none"
        },
        {"services/booking.json", "\"port\":8001", "\"port\":80010", "servers[0].port"},
        {
          "services/booking.json",
          "\"host\":\"127.0.0.1\"",
          "\"host\":\"name.example\"",
          "servers[0].host"
        },
        {
          "services/booking.json",
          "\"state\":\"ACTIVE\"",
          "\"state\":\"DRAINING\"",
          "no active server"
        },
        {"services/booking.json", "}]}", "}]", "valid JSON"},
      };
    }

    @Test(dataProvider = "invalidValues")
    public void messageNamesFileAndPath(
        String file, String valid, String invalid, String expected) {
      Map<String, byte[]> parts =
          Declarations.parts(Declarations.profile(), Declarations.service(8001));
      String text = new String(parts.get(file), StandardCharsets.UTF_8);
      assertTrue(text.contains(valid), text);
      parts.put(
          file,
          text.replaceFirst(java.util.regex.Pattern.quote(valid), invalid)
              .getBytes(StandardCharsets.UTF_8));
      InvalidDeclarationException exception =
          expectThrows(
              InvalidDeclarationException.class, () -> SnapshotParser.parse(1, "d", parts));
      assertTrue(String.valueOf(exception.getMessage()).contains(expected), exception.getMessage());
    }
  }
}
