package org.magnoliaswitch.front.connection;

import static org.magnoliaswitch.front.connection.EmbeddedServer.response;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import org.magnoliaswitch.front.connection.UnmatchedBytes.Kind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which bytes of a server are taken for the response to which request. */
public final class ServerConnectionTest {
  private static final List<String> STATUSES =
      List.of("200 OK", "500 Internal Server Error", "504 Gateway Timeout");

  private static final String REJECTION =
      "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

  /** Bytes behind a complete response. */
  public static final class FurtherBytes {
    /** Each row: bytes that belong to no request, none of which is a complete message. */
    @DataProvider
    public Object[][] incomplete() {
      return new Object[][] {
        {"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1"},
        {"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n"},
        {"HTTP/1.1 503 "},
        {"H"},
        {"\r\n"},
        {"\0"},
      };
    }

    /** Guards against the beginning of a message that is taken for that of the next response. */
    @Test(dataProvider = "incomplete")
    public void bytesBehindAResponseCloseTheConnection(String bytes) {
      EmbeddedServer connection = new EmbeddedServer();
      connection.send(HttpMethod.POST, "one");
      connection.receive(response("one") + bytes);
      assertEquals(connection.statuses(), List.of(200));
      assertEquals(connection.released, 0);
      assertEquals(connection.closed, 1);
      assertFalse(connection.channel.isOpen());
    }

    /** Guards against the same when the bytes arrive while the connection is idle. */
    @Test(dataProvider = "incomplete")
    public void bytesOnAnIdleConnectionCloseIt(String bytes) {
      EmbeddedServer connection = new EmbeddedServer();
      connection.send(HttpMethod.POST, "one");
      connection.receive(response("one"));
      assertEquals(connection.released, 1);
      connection.receive(bytes);
      assertEquals(connection.closed, 1);
      assertFalse(connection.channel.isOpen());
    }

    /** Guards against the same before the first request. */
    @Test(dataProvider = "incomplete")
    public void bytesBeforeTheFirstRequestCloseTheConnection(String bytes) {
      EmbeddedServer connection = new EmbeddedServer();
      connection.receive(bytes);
      assertEquals(connection.closed, 1);
    }

    /** Guards against a body of a response that must have none, left for the next request. */
    @Test
    public void bodyOfAResponseToHeadClosesTheConnection() {
      EmbeddedServer connection = new EmbeddedServer();
      connection.send(HttpMethod.HEAD, "one");
      connection.receive(response("one"));
      assertEquals(connection.statuses(), List.of(200));
      assertEquals(connection.released, 0);
      assertEquals(connection.closed, 1);
    }

    /** Guards against closing sound connections, whose responses arrive in pieces. */
    @Test
    public void completeResponseReleasesTheConnection() {
      EmbeddedServer connection = new EmbeddedServer();
      for (int i = 1; i <= 3; i++) {
        connection.send(HttpMethod.POST, "r" + i);
        for (char next : response("r" + i).toCharArray()) {
          connection.receive(String.valueOf(next));
        }
        assertEquals(connection.released, i);
      }
      assertEquals(connection.statuses(), List.of(200, 200, 200));
    }
  }

  /** Bytes that arrive after the next request was written. */
  public static final class LateBytes {
    /**
     * Guards against an executed request that is reported as rejected or failed, because the head
     * of its response was read as a part of the bytes before it.
     */
    @Test(dataProvider = "incomplete", dataProviderClass = FurtherBytes.class)
    public void lateBytesAreNotJoinedWithTheResponse(String bytes) {
      EmbeddedServer connection = new EmbeddedServer();
      connection.send(HttpMethod.POST, "one");
      connection.receive(response("one"));
      connection.send(HttpMethod.POST, "two");
      connection.receive(bytes + response("two"));
      int status = connection.statuses().get(1);
      assertTrue(status == 0 || status == 200, "status " + status);
    }

    /** Each row: statuses of the late copy and of the next response, and where the id stands. */
    @DataProvider
    public Object[][] lateCopies() {
      List<Object[]> rows = new ArrayList<>();
      for (String copy : STATUSES) {
        for (String next : STATUSES) {
          rows.add(new Object[] {copy, next, true});
          rows.add(new Object[] {copy, next, false});
        }
      }
      return rows.toArray(new Object[0][]);
    }

    /**
     * Guards against a success in place of the failure of a server, or the reverse: the status of a
     * late copy that breaks off, at any byte, with the headers and the body of the next response.
     */
    @Test(dataProvider = "lateCopies")
    public void statusOfALateCopyIsNotTakenForThatOfTheNextResponse(
        String copyStatus, String nextStatus, boolean idFirst) {
      String copy = response(copyStatus, "one", idFirst);
      String next = response(nextStatus, "two", idFirst);
      for (int end = 1; end <= copy.length(); end++) {
        String begun = copy.substring(0, end);
        EmbeddedServer connection = new EmbeddedServer();
        connection.send(HttpMethod.POST, "one");
        connection.receive(copy);
        connection.send(HttpMethod.POST, "two");
        connection.receive(begun);
        connection.receive(next);
        List<Integer> statuses = connection.statuses();
        boolean sound =
            statuses.size() == 1
                || statuses.get(1) == 0
                || statuses.get(1) == Integer.parseInt(nextStatus.substring(0, 3));
        assertTrue(sound, statuses + " after " + begun);
      }
    }

    /** Each row: a first response that no id tells to be the one to the pending request. */
    @DataProvider
    public Object[][] unidentified() {
      return new Object[][] {
        {"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"},
        {"HTTP/1.1 504 E\r\nRequest-Id: \r\nContent-Length: 1\r\n\r\nx"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"},
        {response("other")},
        {"HTTP/1.1 500 E\r\nRequest-Id: onX\r\nContent-Length: 0\r\n\r\n"},
        {"HTTP/1.1 500 E\r\nRequest-Id: x\r\nRequest-Id: one\r\nContent-Length: 0\r\n\r\n"},
      };
    }

    /**
     * Guards against a success in place of a failure: of a server that answers twice, the second
     * response is believed since the first one did not name its request.
     */
    @Test(dataProvider = "unidentified")
    public void responseAfterAnUnidentifiedOneIsNotBelieved(String first) {
      EmbeddedServer connection = new EmbeddedServer();
      connection.send(HttpMethod.POST, "one");
      connection.receive(first);
      connection.receive(response("one"));
      assertEquals(connection.statuses(), List.of(0));
      assertEquals(connection.closed, 1);
    }

    /**
     * Guards against a success in place of a failure: a late response that breaks off in its body
     * takes up the failure, and the second response to the request is believed, also where the
     * bytes arrive one by one.
     */
    @Test
    public void responseWithinASkippedBodyEndsTheExchange() {
      String failure = response("500 Internal Server Error", "two", true);
      String cut = response("one").replace("Length: 2", "Length: " + (1 + failure.length()));
      String late = cut.substring(0, cut.length() - 1) + failure + response("two");
      for (int part : List.of(1, 7, late.length())) {
        EmbeddedServer connection = new EmbeddedServer();
        connection.send(HttpMethod.POST, "one");
        connection.receive(response("one"));
        connection.send(HttpMethod.POST, "two");
        for (int from = 0; from < late.length(); from += part) {
          connection.receive(late.substring(from, Math.min(late.length(), from + part)));
        }
        assertEquals(connection.statuses(), List.of(200, 0), "parts of " + part);
        assertEquals(connection.closed, 1);
      }
    }

    /** Guards against a late response whose body is taken for a response because of its text. */
    @Test
    public void skippedBodyWithoutAStatusLineDoesNotEndTheExchange() {
      EmbeddedServer connection = new EmbeddedServer();
      connection.send(HttpMethod.POST, "one");
      connection.receive(response("one"));
      connection.send(HttpMethod.POST, "two");
      for (String text : List.of("HTTP/1.1 is spoken", "HTTP/1.1", "HTTP/1.1  200", "HHTTP/1.1")) {
        String late = response("one").replace("Length: 2", "Length: " + text.length());
        connection.receive(late.substring(0, late.length() - 2) + text);
      }
      connection.receive(response("two"));
      assertEquals(connection.statuses(), List.of(200, 200));
    }

    /** Guards against a late copy of a rejection that is taken for that of the next request. */
    @Test
    public void connectionOfARejectionWithoutAnIdIsNotReused() {
      EmbeddedServer connection = new EmbeddedServer();
      connection.send(HttpMethod.POST, "one");
      connection.receive(REJECTION);
      assertEquals(connection.statuses(), List.of(503));
      assertEquals(connection.released, 0);
      assertEquals(connection.closed, 1);
    }

    /** Each row: id of the exchange before, empty for a health check, and a rejection. */
    @DataProvider
    public Object[][] rejectionsBehindExchanges() {
      String misdirected = "HTTP/1.1 421 M\r\nContent-Length: 0\r\n\r\n";
      return new Object[][] {
        {"", REJECTION}, {"", misdirected}, {"one", REJECTION}, {"one", misdirected},
      };
    }

    /**
     * Guards against an executed request that is reported as rejected: the second response to the
     * exchange before, without an id, is taken for that to the request.
     */
    @Test(dataProvider = "rejectionsBehindExchanges")
    public void rejectionWithoutAnIdBehindAnotherExchangeIsNotBelieved(
        String idBefore, String rejection) {
      EmbeddedServer connection = new EmbeddedServer();
      connection.send(HttpMethod.POST, idBefore);
      connection.receive(response(idBefore));
      connection.send(HttpMethod.POST, "two");
      connection.receive(rejection);
      connection.receive(response("two"));
      assertEquals(connection.statuses(), List.of(200, 0));
      assertEquals(connection.closed, 1);
    }

    /** Guards against closing the connections of servers that identify their rejections. */
    @Test
    public void connectionOfARejectionWithTheIdIsReused() {
      EmbeddedServer connection = new EmbeddedServer();
      connection.send(HttpMethod.POST, "one");
      connection.receive(
          "HTTP/1.1 503 B\r\nNot-Run: 1\r\nRequest-Id: one\r\nContent-Length: 0\r\n\r\n");
      assertEquals(connection.statuses(), List.of(503));
      assertEquals(connection.released, 1);
    }

    /** Guards against health checks that count as unanswered where a server echoes an empty id. */
    @Test
    public void emptyIdAnswersAHealthCheck() {
      EmbeddedServer connection = new EmbeddedServer();
      connection.send(HttpMethod.GET, "");
      connection.receive(response(""));
      assertEquals(connection.statuses(), List.of(200));
    }

    /** Guards against a late response to a request that is taken for that to a health check. */
    @Test
    public void responseToARequestIsNoneToAHealthCheck() {
      EmbeddedServer connection = new EmbeddedServer();
      connection.send(HttpMethod.POST, "one");
      connection.receive(response("one"));
      connection.send(HttpMethod.GET, "");
      connection.receive(response("one"));
      assertEquals(connection.statuses(), List.of(200));
      connection.receive("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      assertEquals(connection.statuses(), List.of(200, 200));
      assertEquals(connection.closed, 1);
    }

    /**
     * Guards against a failure of a sound request: a health check ends with a late response without
     * an id, and its own response arrives after the request was written on the same connection.
     */
    @Test
    public void connectionOfAHealthCheckWithoutItsAnswerIsNotReused() {
      EmbeddedServer connection = new EmbeddedServer();
      connection.send(HttpMethod.POST, "one");
      connection.receive(response("one"));
      connection.send(HttpMethod.GET, "");
      connection.receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
      assertEquals(connection.released, 1, "statuses " + connection.statuses());
    }

    /** Guards against a body that ends with the beginning of a second response. */
    @Test
    public void bodyThatBreaksOffIsNotFilledFromASecondResponse() {
      EmbeddedServer connection = new EmbeddedServer();
      connection.send(HttpMethod.POST, "one");
      String whole = response("one").replace("Content-Length: 2", "Content-Length: 9");
      connection.receive(whole + response("500 E", "one", true));
      assertEquals(connection.statuses(), List.of(0));
    }

    /** Guards against a late response, told by its id, that ends a request for a head. */
    @Test
    public void lateResponseWithABodyIsSkippedWhileAHeadRequestIsPending() {
      EmbeddedServer connection = new EmbeddedServer();
      connection.send(HttpMethod.GET, "one");
      connection.receive(response("one"));
      connection.send(HttpMethod.HEAD, "two");
      connection.receive(response("one"));
      connection.receive("HTTP/1.1 200 OK\r\nRequest-Id: two\r\nContent-Length: 2\r\n\r\n");
      assertEquals(connection.statuses(), List.of(200, 200));
    }
  }

  /** What is reported of bytes that are no response to the pending request. */
  public static final class Reports {
    /** Each row: what arrives while request two is pending, and what is reported of it. */
    @DataProvider
    public Object[][] whilePending() {
      return new Object[][] {
        {response("one"), new UnmatchedBytes(Kind.OTHER_REQUEST, "two", "one", 200)},
        {response("x"), new UnmatchedBytes(Kind.UNKNOWN_ID, "two", "x", 200)},
        {
          "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n",
          new UnmatchedBytes(Kind.WITHOUT_ID, "two", "", 500)
        },
        {
          "HTTP/1.1 500 " + response("two"),
          new UnmatchedBytes(Kind.JOINED_HEADS, "two", "two", 500)
        },
      };
    }

    /** Guards against late responses that leave no trace in the log. */
    @Test(dataProvider = "whilePending")
    public void lateBytesAreReported(String bytes, UnmatchedBytes reported) {
      EmbeddedServer connection = new EmbeddedServer();
      connection.send(HttpMethod.POST, "one");
      connection.receive(response("one"));
      connection.send(HttpMethod.POST, "two");
      connection.receive(bytes);
      assertEquals(connection.unmatched, List.of(reported));
    }

    /** Guards against a line for each part of what arrives on an idle connection. */
    @Test
    public void unsolicitedBytesAreReportedOnce() {
      EmbeddedServer connection = new EmbeddedServer();
      connection.send(HttpMethod.POST, "one");
      connection.receive(response("one") + response("one") + response("one"));
      assertEquals(
          connection.unmatched, List.of(new UnmatchedBytes(Kind.UNSOLICITED, "one", "", 0)));
    }

    /** Guards against reports of informational responses and of sound ones. */
    @Test
    public void soundResponsesAreNotReported() {
      EmbeddedServer connection = new EmbeddedServer();
      connection.send(HttpMethod.POST, "one");
      connection.receive("HTTP/1.1 100 Continue\r\n\r\n" + response("one"));
      assertEquals(connection.statuses(), List.of(200));
      assertEquals(connection.unmatched, List.of());
    }
  }
}
