package org.magnoliaswitch.core.testing;

import java.util.function.Function;
import org.magnoliaswitch.core.testing.ScriptedServer.Action;
import org.magnoliaswitch.core.testing.ScriptedServer.Received;

/**
 * A server that answers the first request on a connection twice, the second time after the next
 * request was written. The request with index {@code n} is answered with the body {@code answer-n}.
 *
 * @param firstStatus status of the answer to the first request
 * @param secondStatus status of the answer to the second request
 * @param shape what the answers carry
 * @param cut number of bytes after which the late copy breaks off
 */
public record LateAnswers(int firstStatus, int secondStatus, Shape shape, int cut)
    implements Function<Received, Action> {
  private static final int OK = 200;

  /** What the answers of a server carry. */
  public enum Shape {
    /** The id of the request before the other headers. */
    ID_FIRST,
    /** The id of the request after the other headers. */
    ID_LAST,
    /** An informational response before each answer. */
    INFORMATIONAL,
    /** No id. */
    WITHOUT_ID,
    /** The id of the request, except in the late copy. */
    LATE_WITHOUT_ID
  }

  /** Length in bytes of the late copy if it does not break off. */
  public int lateLength() {
    return late("r-0").length();
  }

  /** The same answers, where the index of a request is the number at the end of its id. */
  public Function<Received, Action> numberedById() {
    return received -> {
      int number = Integer.parseInt(received.id().substring("r-".length()));
      return apply(new Received(number, received.onConnection(), received.head()));
    };
  }

  @Override
  public Action apply(Received received) {
    String late = "";
    if (received.onConnection() == 1) {
      // The copy carries the id of the first request, whose index is one less.
      String whole = late("r-" + (received.index() - 1));
      late = whole.substring(0, Math.min(cut, whole.length()));
    }
    return new Action.Send(late + answer(received.index(), received.id(), shape));
  }

  private String late(String id) {
    return answer(0, id, shape == Shape.LATE_WITHOUT_ID ? Shape.WITHOUT_ID : shape);
  }

  private String answer(int index, String id, Shape as) {
    int status =
        switch (index) {
          case 0 -> firstStatus;
          case 1 -> secondStatus;
          default -> OK;
        };
    String idLine = "X-Request-Id: " + id + "\r\n";
    boolean last = as == Shape.ID_LAST;
    String body = "answer-" + index;
    return (as == Shape.INFORMATIONAL ? "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" : "")
        + "HTTP/1.1 "
        + status
        + (status == OK ? " OK\r\n" : " Internal Server Error\r\n")
        + (as == Shape.WITHOUT_ID || last ? "" : idLine)
        + "Server-Id: s\r\nContent-Length: "
        + body.length()
        + "\r\n"
        + (last ? idLine : "")
        + "\r\n"
        + body;
  }
}
