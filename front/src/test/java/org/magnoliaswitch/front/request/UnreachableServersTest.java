package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import org.magnoliaswitch.front.testing.CuttableLink.Cut;
import org.magnoliaswitch.front.testing.RunningFront;
import org.magnoliaswitch.front.testing.ScriptedServer;
import org.magnoliaswitch.front.version.ServerEntry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Instances that lose the way to all servers of a service, which other instances still reach. */
public final class UnreachableServersTest {
  private static final long TIMEOUT_MILLIS = CutDeployment.TIMEOUT_MILLIS;
  private static final int SERVERS = CutDeployment.SERVERS;

  /** Requests that may fail while an instance finds out that it is cut off. */
  private static final int DISCOVERY = 8;

  private static final int COUNTED = 30;

  /** Requests after the return of the links, of which one at least must go directly. */
  private static final int MAX_DETOURS = 20_000;

  @DataProvider
  public static Object[][] cuts() {
    List<Object[]> rows = new ArrayList<>();
    for (Cut cut : Cut.values()) {
      for (Map.Entry<String, String> route : Map.of("GET", "safe", "POST", "once").entrySet()) {
        rows.add(new Object[] {cut, route.getKey(), route.getValue()});
      }
    }
    return rows.toArray(Object[][]::new);
  }

  /** First tries at an instance without a way to the servers. */
  public static final class FirstTries {
    @DataProvider
    public static Object[][] cuts() {
      return UnreachableServersTest.cuts();
    }

    /** Guards against refusing callers whose servers are well and reached by other instances. */
    @Test(dataProvider = "cuts")
    public void areServedAsOftenAsAtOtherInstances(Cut cut, String method, String route)
        throws IOException {
      try (CutDeployment deployment = new CutDeployment(2, 1)) {
        deployment.served(deployment.last(), method, route, DISCOVERY);
        deployment.cut(cut);
        deployment.served(deployment.last(), method, route, DISCOVERY);
        int others = deployment.served(deployment.first(), method, route, COUNTED);
        int own = deployment.served(deployment.last(), method, route, COUNTED);
        assertEquals(others, COUNTED);
        assertTrue(own * 3 >= others * 2, own + " of " + COUNTED + " served, elsewhere " + others);
        if (route.equals("once")) {
          assertEquals(deployment.mostExecutions(), 1);
        }
      }
    }

    /** Guards against an instance that keeps to the detour once it reaches the servers again. */
    @Test(dataProvider = "cuts")
    public void areSentDirectlyAgainOnceTheLinksAreBack(Cut cut, String method, String route)
        throws IOException {
      try (CutDeployment deployment = new CutDeployment(2, 1)) {
        deployment.cut(cut);
        deployment.served(deployment.last(), method, route, DISCOVERY);
        deployment.restore();
        int before = deployment.usesOfLinks();
        for (int i = 0; i < MAX_DETOURS && deployment.usesOfLinks() == before; i++) {
          deployment.served(deployment.last(), method, route, 1);
        }
        assertTrue(deployment.usesOfLinks() > before, "no request was sent directly");
        assertEquals(deployment.served(deployment.last(), method, route, COUNTED), COUNTED);
      }
    }
  }

  /** Instances that open connections for others. */
  public static final class Helpers {
    private static final String SLOW = "/slow";

    /** Guards against instances that hand requests round in a circle. */
    @Test
    public void whoReachesNoServerHelpsNobody() throws IOException {
      try (CutDeployment deployment = new CutDeployment(0, 3)) {
        deployment.cut(Cut.RESET);
        int before = deployment.usesOfLinks();
        assertEquals(deployment.served(deployment.last(), "POST", "once", DISCOVERY), 0);
        assertEquals(deployment.usesOfLinks(), before);
        String answer = deployment.last().request("POST", "/once/last", TIMEOUT_MILLIS);
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
      }
    }

    /** Guards against losing all instances of a data centre but one. */
    @Test
    public void oneInstanceHelpsAllOthers() throws IOException {
      try (CutDeployment deployment = new CutDeployment(1, 4)) {
        deployment.cut(Cut.RESET);
        for (RunningFront front : deployment.fronts()) {
          deployment.served(front, "POST", "once", DISCOVERY);
          assertEquals(deployment.served(front, "POST", "once", COUNTED), COUNTED);
        }
        assertEquals(deployment.mostExecutions(), 1);
      }
    }

    /** Returns a script that holds slow requests until their connection is closed. */
    private static ScriptedServer.Script holdingWhile(AtomicBoolean condition, Semaphore held) {
      return request -> {
        if (request.line().contains(SLOW) && condition.get()) {
          held.release();
          request.awaitClose();
          return false;
        }
        return request.respond(200, "done");
      };
    }

    /** Guards against refusing a request as one that ends servers because the links were reset. */
    @Test(timeOut = 60_000)
    public void lostLinksAreNotTakenForCrashes() throws Exception {
      Semaphore received = new Semaphore(0);
      AtomicBoolean cutting = new AtomicBoolean(true);
      try (CutDeployment deployment = new CutDeployment(0, 2, holdingWhile(cutting, received))) {
        for (int i = 0; i < SERVERS; i++) {
          try (Socket caller = deployment.last().connect()) {
            RunningFront.send(caller, "POST", "/once" + SLOW, TIMEOUT_MILLIS, "");
            received.acquire();
            deployment.cut(Cut.RESET);
            RunningFront.readUntil(caller, "\r\n\r\n");
          }
          // Until the checks of the broken connection have ended, too.
          deployment.served(deployment.last(), "POST", "once", DISCOVERY);
          deployment.restore();
          deployment.served(deployment.last(), "POST", "once", DISCOVERY);
        }
        cutting.set(false);
        String answer = deployment.last().request("POST", "/once" + SLOW, TIMEOUT_MILLIS);
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
      }
    }

    /** Guards against taking the loss of one link for the crash of its server. */
    @Test(timeOut = 60_000)
    public void lossOfOneLinkIsNotTakenForCrash() throws Exception {
      Semaphore received = new Semaphore(0);
      AtomicBoolean cutting = new AtomicBoolean(true);
      try (CutDeployment deployment = new CutDeployment(2, 1, holdingWhile(cutting, received))) {
        for (int i = 0; i < SERVERS; i++) {
          try (Socket caller = deployment.last().connect()) {
            RunningFront.send(caller, "POST", "/once" + SLOW, TIMEOUT_MILLIS, "");
            received.acquire();
            deployment.cutLinksInUse();
            RunningFront.readUntil(caller, "\r\n\r\n");
          }
          deployment.served(deployment.last(), "POST", "once", DISCOVERY);
          deployment.restore();
        }
        cutting.set(false);
        String answer = deployment.last().request("POST", "/once" + SLOW, TIMEOUT_MILLIS);
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
      }
    }

    /** Guards against breaking off requests of others when an instance stops. */
    @Test
    public void finishRequestsOfOthersBeforeTheyStop() throws Exception {
      CountDownLatch received = new CountDownLatch(1);
      CountDownLatch released = new CountDownLatch(1);
      ScriptedServer.Script script =
          request -> {
            if (request.line().contains(SLOW)) {
              received.countDown();
              released.await();
            }
            return request.respond(200, "done");
          };
      try (CutDeployment deployment = new CutDeployment(1, 1, script);
          Socket caller = deployment.last().connect()) {
        deployment.cut(Cut.RESET);
        deployment.awaitServed(deployment.last(), "POST", "once");
        RunningFront.send(caller, "POST", "/once" + SLOW, TIMEOUT_MILLIS, "Connection: close\r\n");
        received.await();
        deployment.first().stop(() -> {});
        released.countDown();
        String answer = RunningFront.readUntil(caller, "done");
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        assertEquals(deployment.mostExecutions(), 1);
      }
    }

    /** Guards against work that goes on behind a second instance after the caller has left. */
    @Test(timeOut = 20_000)
    public void cancelWorkWhoseCallerHasLeft() throws Exception {
      CountDownLatch received = new CountDownLatch(1);
      CountDownLatch cancelled = new CountDownLatch(1);
      ScriptedServer.Script script =
          request -> {
            if (request.line().contains(SLOW)) {
              received.countDown();
              request.awaitClose();
              cancelled.countDown();
              return false;
            }
            return request.respond(200, "done");
          };
      try (CutDeployment deployment = new CutDeployment(1, 1, script)) {
        deployment.cut(Cut.RESET);
        deployment.awaitServed(deployment.last(), "GET", "safe");
        try (Socket caller = deployment.last().connect()) {
          RunningFront.send(caller, "GET", "/safe" + SLOW, 15_000, "");
          received.await();
        }
        cancelled.await();
      }
    }

    /** Guards against saying that a request has not run when a helper dies after it was sent. */
    @Test
    public void whoDieLeaveItOpenWhetherARequestHasRun() throws Exception {
      assertEquals(statusWithHelperThatDies(true), "502");
    }

    /** Guards against an open outcome of a request of which nothing was sent. */
    @Test
    public void whoDieBeforeTheRequestIsSentLeaveItNotExecuted() throws Exception {
      assertEquals(statusWithHelperThatDies(false), "503");
    }

    /** Returns the status of a request whose server is reached through a dying instance only. */
    private static String statusWithHelperThatDies(boolean afterOpening) throws IOException {
      // A bound socket that does not listen refuses connections and keeps its port from reuse.
      try (Socket refusing = new Socket();
          ServerSocket helper = new ServerSocket(0)) {
        refusing.bind(new InetSocketAddress("127.0.0.1", 0));
        int port = refusing.getLocalPort();
        ServerEntry dead = new ServerEntry("i-1", 0, "s", "127.0.0.1", port, "here", 6, false, 0);
        Thread.ofVirtual().start(() -> die(helper, afterOpening));
        RunningFront front =
            RunningFront.withRelay(
                TIMEOUT_MILLIS,
                new InetSocketAddress("127.0.0.1", helper.getLocalPort()),
                List.of(dead));
        String answer = front.request("POST", "/once/1", TIMEOUT_MILLIS);
        front.stop(() -> {});
        return answer.substring("HTTP/1.1 ".length(), "HTTP/1.1 503".length());
      }
    }

    private static void die(ServerSocket helper, boolean afterOpening) {
      byte[] opened = {0, 0, 0, 3, 1, 1, 0};
      while (!helper.isClosed()) {
        try (Socket socket = helper.accept()) {
          byte[] buffer = new byte[1_024];
          int unused = socket.getInputStream().read(buffer);
          if (afterOpening) {
            socket.getOutputStream().write(opened);
            unused = socket.getInputStream().read(buffer);
          }
        } catch (IOException e) {
          return;
        }
      }
    }
  }
}
