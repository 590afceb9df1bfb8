package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliaswitch.front.testing.RunningFront;
import org.magnoliaswitch.front.testing.ScriptedServer;
import org.testng.annotations.Test;

/**
 * A request under which every server ends that begins to run it, brought again and again to several
 * instances.
 *
 * <p>Nineteen servers of a read service ended within 17 s, and again when they were back, 44 ends
 * in all. Each try of the request came under a new id to another instance, took two servers, the
 * first and the one it was sent to again, and was told 502. Instances counted the ends against the
 * servers ({@code event=server_suspect}) and never against what they had run, so nothing related
 * one try to the next: {@code event=broken} named 84 requests, none with more than two servers
 * under it, in pairs like
 *
 * <pre>
 * 8.775 event=broken request=d64b541024785864 server=i-b05f12fb3c reason=closed
 * 8.858 event=broken request=d64b541024785864 server=i-b84618134a reason=closed
 * 8.858 event=not_repeated request=d64b541024785864 reason=most_servers left_ms=860
 * </pre>
 */
public final class CrashingRequestTest {
  private static final int INSTANCES = 3;
  private static final int SERVERS = 14;
  private static final int TRIES = 12;
  private static final long TIMEOUT_MILLIS = 10_000;
  private static final String DEADLY = "/safe/deadly";

  /** Ends that tell a request apart from bystanders, which may meet two. */
  private static final int ENDS_THAT_TELL = 3;

  /** Further servers that the users allow such a request once three have ended. */
  private static final int ALLOWED_AFTER = 3;

  /** Servers that end when they begin to run the deadly path. */
  private static final class Servers implements AutoCloseable {
    private final List<ScriptedServer> all = new ArrayList<>();
    private final AtomicInteger ended = new AtomicInteger();

    Servers(int count) throws IOException {
      for (int i = 0; i < count; i++) {
        int number = i;
        all.add(new ScriptedServer("s" + i, request -> run(number, request)));
      }
    }

    private boolean run(int number, ScriptedServer.Received request) throws IOException {
      if (!request.line().contains(DEADLY)) {
        return request.answer(200, "well");
      }
      ended.incrementAndGet();
      all.get(number).close();
      return false;
    }

    @Override
    public void close() throws IOException {
      for (ScriptedServer server : all) {
        server.close();
      }
    }
  }

  /**
   * The caller comes back as soon as it is told that a try failed, each time to another instance.
   * The first tries end servers; after the third end every instance must know, and turn it away.
   */
  @Test
  public void servesNoMoreThanTheUsersAllowToItsEnd() throws IOException {
    try (Servers servers = new Servers(SERVERS)) {
      ScriptedServer[] all = servers.all.toArray(new ScriptedServer[0]);
      List<RunningFront> fronts = RunningFront.group(INSTANCES, TIMEOUT_MILLIS, all);
      for (int i = 0; i < TRIES; i++) {
        fronts.get(i % INSTANCES).ask("GET", DEADLY, TIMEOUT_MILLIS);
      }
      int ended = servers.ended.get();
      assertTrue(ended <= ENDS_THAT_TELL + ALLOWED_AFTER, ended + " servers ended");
      for (RunningFront front : fronts) {
        front.stop(() -> {});
      }
    }
  }
}
