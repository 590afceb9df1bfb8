package org.magnoliaswitch.core.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.magnoliaswitch.core.testing.ScriptedServer;
import org.magnoliaswitch.core.testing.ScriptedServer.Action;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the epoch that the platform names in its responses. */
public final class HttpPlatformTest {
  private static final long TIMEOUT_MILLIS = 10_000;
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int SERVICE_UNAVAILABLE = 503;

  private HttpServer server;
  private HttpPlatform platform;
  private int status;
  private String epoch;

  @BeforeMethod
  public void setUp() throws IOException {
    status = OK;
    epoch = "";
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/", this::answer);
    server.start();
    platform =
        new HttpPlatform(
            URI.create("http://127.0.0.1:" + server.getAddress().getPort()), TIMEOUT_MILLIS);
  }

  @AfterMethod(alwaysRun = true)
  public void tearDown() throws IOException {
    platform.close();
    server.stop(0);
  }

  private void answer(HttpExchange exchange) throws IOException {
    if (!epoch.isEmpty()) {
      exchange.getResponseHeaders().set("Store-Era", epoch);
    }
    byte[] body = "[]".getBytes(StandardCharsets.US_ASCII);
    exchange.sendResponseHeaders(status, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  @DataProvider
  public static Object[][] statuses() {
    return new Object[][] {{OK}, {CONFLICT}, {SERVICE_UNAVAILABLE}};
  }

  /** Guards against a restore that is overlooked since the next call happens to fail. */
  @Test(dataProvider = "statuses")
  public void epochOfEachResponseCounts(int responseStatus) {
    status = responseStatus;
    epoch = "7";
    platform.transact(List.of());
    assertEquals(platform.epoch(), 7);
  }

  /** Guards against a response overtaken by a later one, which would undo the restore. */
  @Test
  public void lowerEpochIsIgnored() throws PlatformException {
    epoch = "7";
    platform.read(List.of());
    epoch = "6";
    platform.read(List.of());
    assertEquals(platform.epoch(), 7);
  }

  @DataProvider
  public static Object[][] unreadable() {
    return new Object[][] {{""}, {"x"}, {"-1"}, {"1048576"}, {"99999999999999999999"}, {"1.5"}};
  }

  /** Guards against an unreadable epoch that passes for a restore or for none ever. */
  @Test(dataProvider = "unreadable")
  public void unreadableEpochIsIgnored(String value) throws PlatformException {
    platform.read(List.of());
    assertEquals(platform.epoch(), 0);
    epoch = "7";
    platform.read(List.of());
    epoch = value;
    platform.read(List.of());
    assertEquals(platform.epoch(), 7);
  }

  /** Each row: statuses of the first transaction, answered twice, and of the second one. */
  @DataProvider
  public static Object[][] answeredTwice() {
    return new Object[][] {{OK, CONFLICT}, {OK, SERVICE_UNAVAILABLE}, {CONFLICT, OK}};
  }

  private static String response(int responseStatus) {
    return "HTTP/1.1 " + responseStatus + " X\r\nContent-Length: 2\r\n\r\n[]";
  }

  /** Guards against a transaction whose result is the second answer to the one before. */
  @Test(dataProvider = "answeredTwice")
  public void bytesBehindAnAnswerAreNotTakenForThatToTheNextCall(int first, int second)
      throws Exception {
    String twice = response(first) + response(first);
    try (ScriptedServer store =
            new ScriptedServer(i -> new Action.Send(i == 0 ? twice : response(second)));
        HttpPlatform client =
            new HttpPlatform(URI.create("http://127.0.0.1:" + store.port()), TIMEOUT_MILLIS)) {
      client.transact(List.of());
      TransactionResult result = client.transact(List.of());
      boolean sound =
          switch (result) {
            case TransactionResult.Committed committed -> second == OK;
            case TransactionResult.Conflict conflict -> second == CONFLICT;
            case TransactionResult.Unknown unknown -> true;
          };
      assertTrue(sound, result + " where the answer was " + second);
    }
  }
}
