package org.magnoliaswitch.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks parsing and filtering of events in the logs of instances. */
public final class LogReaderTest {
  private static final String SEND =
      "time=2026-03-02T10:00:01.500Z level=INFO event=send request=r1 server=i-1 left_ms=970";

  /** Each row: a line, and the expected instance and time in microseconds. */
  @DataProvider
  public Object[][] lines() {
    return new Object[][] {
      {SEND, "front-1", 1_772_445_601_500_000L},
      {"  33.1778 zone-a-2 " + SEND, "zone-a-2", 33_177_800L},
      {" -12.5000 zone-a-2 " + SEND, "zone-a-2", -12_500_000L},
      {"zone-a-2 " + SEND, "zone-a-2", 1_772_445_601_500_000L},
    };
  }

  @Test(dataProvider = "lines")
  public void instanceAndTimeAreParsed(String line, String instance, long micros) {
    TimelineEntry entry = LogReader.parse(line, "front-1").orElseThrow();
    assertEquals(entry.instance(), instance);
    assertEquals(entry.micros(), micros);
    assertEquals(entry.event(), "send");
    assertEquals(entry.value("request"), "r1");
  }

  @DataProvider
  public Object[][] otherLines() {
    return new Object[][] {{""}, {"time= level"}, {"time=yesterday event=x"}, {"Exception in"}};
  }

  @Test(dataProvider = "otherLines")
  public void linesOfOtherProgramsAreIgnored(String line) {
    assertTrue(LogReader.parse(line, "x").isEmpty());
  }

  /**
   * A quoted value chosen by a caller may contain spaces and must not be parsed as another field.
   */
  @Test
  public void aQuotedValueIsOneValue() {
    String line = "time=2026-03-02T10:00:01Z level=INFO event=end request=\"a b=c\" status=503";
    TimelineEntry entry = LogReader.parse(line, "x").orElseThrow();
    assertEquals(entry.value("request"), "\"a b=c\"");
    assertEquals(entry.value("b"), "");
  }

  @Test
  public void fileNameIsTheInstanceName() throws IOException {
    Path directory = Files.createTempDirectory("logs");
    Path file = Files.writeString(directory.resolve("front-7.log"), SEND + "\nnoise\n");
    List<TimelineEntry> entries = LogReader.read(List.of(file.toString()));
    assertEquals(entries.size(), 1);
    assertEquals(entries.getFirst().instance(), "front-7");
  }

  /** Events can be selected by the request they belong to, or by a server of their request. */
  @Test
  public void aFilterFindsRequestsAndServersInLogs() {
    TimelineEntry send = LogReader.parse(SEND, "x").orElseThrow();
    String end = "time=2026-03-02T10:00:02Z level=INFO event=end request=r1 servers=i-1/i-2";
    TimelineEntry last = LogReader.parse(end, "x").orElseThrow();
    TimelineFilter byRequest = new TimelineFilter("r1", "", "", "", Long.MIN_VALUE, Long.MAX_VALUE);
    TimelineFilter byServer = new TimelineFilter("", "i-2", "", "", Long.MIN_VALUE, Long.MAX_VALUE);
    assertTrue(byRequest.selects(send) && byRequest.selects(last));
    assertFalse(byServer.selects(send));
    assertTrue(byServer.selects(last));
  }
}
