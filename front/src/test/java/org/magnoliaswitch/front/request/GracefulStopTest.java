package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.magnoliaswitch.front.testing.RunningFront;
import org.magnoliaswitch.front.testing.ScriptedServer;
import org.magnoliaswitch.front.testing.ScriptedServer.Script;
import org.testng.annotations.Test;

/** Planned stops of an instance, over real connections to the caller and to the servers. */
public final class GracefulStopTest {
  private static final long LONG_TIMEOUT_MILLIS = 5_000;

  private static int status(String response) {
    return Integer.parseInt(response.split(" ", 3)[1]);
  }

  /**
   * Waits until responses announce the stop. The event loop carries it out and may read a response
   * first.
   */
  private static void awaitStopAnnounced(RunningFront front) throws IOException {
    String response = "";
    while (!response.toLowerCase(Locale.ROOT).contains("connection: close")) {
      try (Socket caller = front.connect()) {
        RunningFront.send(caller, "GET", "/no/", LONG_TIMEOUT_MILLIS, "");
        response = RunningFront.readUntil(caller, "no_route");
      }
    }
  }

  /**
   * The instance is stopped while a server works on a request. The caller must get its response,
   * and the instance must not exit before.
   */
  @Test
  public void requestsInFlightCompleteBeforeTheStop() throws IOException, InterruptedException {
    CountDownLatch released = new CountDownLatch(1);
    AtomicBoolean stopped = new AtomicBoolean();
    CountDownLatch exited = new CountDownLatch(1);
    Script script =
        r -> {
          released.await();
          return r.respond(200, "done");
        };
    try (ScriptedServer server = new ScriptedServer("a", script)) {
      RunningFront front = new RunningFront(60_000, server);
      try (Socket caller = front.connect()) {
        RunningFront.send(caller, "POST", "/once/1", 60_000, "");
        server.awaitFirst();
        front.stop(
            () -> {
              stopped.set(true);
              exited.countDown();
            });
        assertFalse(stopped.get());
        awaitStopAnnounced(front);
        released.countDown();
        String response = RunningFront.readUntil(caller, "done");
        assertEquals(status(response), 200);
        assertTrue(response.toLowerCase(Locale.ROOT).contains("connection: close"));
      }
      exited.await();
    }
  }

  /** Answers of 4 MB each: more than the socket buffers hold. */
  private static final String LARGE = "x".repeat(4 << 20);

  private static final int PIPELINED = 5;

  /** Waits until the instance accepts no connections any more. */
  private static void awaitRefused(RunningFront front) {
    boolean accepts = true;
    while (accepts) {
      try (Socket socket = front.connect()) {
        accepts = socket.isConnected();
      } catch (IOException e) {
        accepts = false;
      }
    }
  }

  /** Sends pipelined requests, and reads their answers once the instance closes idle callers. */
  private static String answersReadDuringTheStop(boolean stopBefore)
      throws IOException, InterruptedException {
    CountDownLatch released = new CountDownLatch(stopBefore ? 1 : 0);
    CountDownLatch answered = new CountDownLatch(PIPELINED);
    Script script =
        request -> {
          released.await();
          boolean keep = request.respond(200, LARGE);
          answered.countDown();
          return keep;
        };
    try (ScriptedServer server = new ScriptedServer("a", script)) {
      RunningFront front = new RunningFront(60_000, server);
      try (Socket caller = front.connect()) {
        for (int i = 0; i < PIPELINED; i++) {
          RunningFront.send(caller, "GET", "/safe/" + i, 60_000, "");
        }
        server.awaitFirst();
        if (!stopBefore) {
          answered.await();
        }
        front.stop(() -> {});
        awaitStopAnnounced(front);
        released.countDown();
        awaitRefused(front);
        byte[] answers = caller.getInputStream().readAllBytes();
        return new String(answers, StandardCharsets.ISO_8859_1);
      }
    }
  }

  /** Checks that all answers are there and whole, up to one that announces the close. */
  private static void assertWhole(String answers) {
    int whole = 0;
    boolean closeAnnounced = false;
    int start = 0;
    while (start < answers.length()) {
      int body = answers.indexOf("\r\n\r\n", start) + 4;
      assertTrue(body > start, "the head of answer " + whole + " ends early");
      String head = answers.substring(start, body).toLowerCase(Locale.ROOT);
      closeAnnounced |= head.contains("connection: close");
      start = body + LARGE.length();
      assertTrue(start <= answers.length(), "answer " + whole + " ends early");
      whole++;
    }
    assertTrue(closeAnnounced || whole == PIPELINED, whole + " answers");
  }

  /** Guards against a stop that cuts off answers which their caller reads slowly. */
  @Test(timeOut = 30_000)
  public void answersThatAreBeingSentArriveWhole() throws IOException, InterruptedException {
    assertWhole(answersReadDuringTheStop(false));
  }

  /** Guards against a reset behind the last answer, which destroys what is still on its way. */
  @Test(timeOut = 30_000)
  public void theAnswerThatAnnouncesTheCloseArrivesWhole()
      throws IOException, InterruptedException {
    assertWhole(answersReadDuringTheStop(true));
  }

  /**
   * Guards against a reset by bytes that arrive on a closed connection, which destroys what the
   * kernel still holds of the last answer: its caller reads slowly and sends a further request.
   */
  @Test(timeOut = 30_000)
  public void aFurtherRequestDoesNotDestroyTheLastAnswer()
      throws IOException, InterruptedException {
    String answer = "x".repeat(1 << 20);
    CountDownLatch exited = new CountDownLatch(1);
    try (ScriptedServer server = new ScriptedServer("a", r -> r.respond(200, answer));
        Socket caller = new Socket()) {
      RunningFront front = new RunningFront(60_000, server);
      caller.setReceiveBufferSize(16 << 10);
      caller.connect(front.address());
      RunningFront.send(caller, "GET", "/safe/1", 60_000, "Connection: close\r\n");
      assertEquals(caller.getInputStream().read(), 'H');
      front.stop(exited::countDown);
      exited.await();
      RunningFront.send(caller, "GET", "/safe/2", 60_000, "");
      int received = caller.getInputStream().readAllBytes().length;
      assertTrue(received >= answer.length(), received + " bytes");
    }
  }
}
