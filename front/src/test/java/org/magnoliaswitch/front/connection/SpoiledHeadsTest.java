package org.magnoliaswitch.front.connection;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Heads that a server has spoiled. */
public final class SpoiledHeadsTest {
  /** Each row: a line in place of a header. */
  @DataProvider
  public Object[][] lines() {
    return new Object[][] {
      {"no colon here"}, {"X-Value value"}, {"X-Blank "}, {"a b: c"}, {"nocolon"}, {"Name : v"},
    };
  }

  /** Guards against a spoiled head that is passed on as a success, wherever its id stands. */
  @Test(dataProvider = "lines")
  public void headWithALineThatIsNoHeaderIsRefused(String line) {
    String sound = EmbeddedServer.response("one");
    for (String before : List.of("Request-Id", "Content-Length", "\r\n")) {
      int at = sound.lastIndexOf(before);
      EmbeddedServer connection = new EmbeddedServer();
      connection.send(HttpMethod.POST, "one");
      connection.receive(sound.substring(0, at) + line + "\r\n" + sound.substring(at));
      assertEquals(connection.statuses(), List.of(0), before);
    }
  }

  /** Each row: the beginning of a status line. */
  @DataProvider
  public Object[][] statusLines() {
    return new Object[][] {
      {"HTTP/2.0 200"},
      {"HTTP/0.9 200"},
      {"HTTP/11.1 200"},
      {"HHTTP/1.1 200"},
      {"HTTP/1.1 20"},
      {"HTTP/1.1 2000"},
      {"HTTP/1.1 0"},
      {"HTTP/1.1 -200"},
      {"HTTP/1.1 600"},
    };
  }

  /** Guards against a spoiled status that is passed on, which callers cannot read. */
  @Test(dataProvider = "statusLines")
  public void unknownStatusLineIsRefused(String beginning) {
    EmbeddedServer connection = new EmbeddedServer();
    connection.send(HttpMethod.POST, "one");
    connection.receive(EmbeddedServer.response("one").replace("HTTP/1.1 200", beginning));
    assertEquals(connection.statuses(), List.of(0));
    assertEquals(connection.closed, 1);
  }
}
