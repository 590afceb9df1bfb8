package org.magnoliaswitch.front.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.magnoliaswitch.core.crash.Verdict;
import org.magnoliaswitch.front.connection.CallerRequest;
import org.magnoliaswitch.front.load.Mechanisms;
import org.magnoliaswitch.front.load.PendingQueue;
import org.magnoliaswitch.front.load.RetryAfter;
import org.magnoliaswitch.front.load.ServerState;
import org.magnoliaswitch.front.load.Timeliness;
import org.magnoliaswitch.front.loop.Loop;
import org.magnoliaswitch.front.process.Environment;
import org.magnoliaswitch.front.process.TeamBounds;
import org.magnoliaswitch.front.testing.ManualClock;
import org.magnoliaswitch.front.testing.Servers;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.WeightedService;
import org.testng.annotations.Test;

/** All orders in which events can reach a request that must run at most once. */
public final class RequestPlacementTest {
  private static final long MINUTE = TimeUnit.MINUTES.toNanos(1);
  private static final long TIMER_MILLIS = 12;
  private static final int SEQUENCE_LENGTH = 5;
  private static final Route ROUTE =
      new Route("r", "h", "/", false, MINUTE, MINUTE, 0, 9, List.of(new WeightedService("s", 1)));
  private static final Environment ENVIRONMENT =
      TestEnvironment.withoutConfiguration(new ManualClock().clocks(), TeamBounds.DEFAULT);

  /** What can happen to a request while it looks for a server or is at one. */
  private enum Event {
    TIMER,
    SERVER_FOUND,
    ALL_BUSY,
    NO_SERVER,
    OFFER,
    VERDICT_WAIT,
    VERDICT_ALLOWED,
    VERDICT_REFUSED,
    ATTEMPT_NOT_EXECUTED,
    ATTEMPT_BROKEN,
    CALLER_LEFT
  }

  /** One request, with the events that reach it one after the other. */
  private static final class Subject implements RequestPlacement.Owner, ServerFinder {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final PendingQueue<RequestPlacement> queue = new PendingQueue<>(Mechanisms.ALL);
    private final List<Consumer<Result>> searches = new ArrayList<>();
    private final RequestPlacement placement;
    private Verdict verdict = Verdict.ALLOWED;
    private int openAttempts;
    private int servers;
    private boolean possiblyExecuted;
    private boolean done;

    Subject() {
      channel.freezeTime();
      Loop loop = Loop.of(channel.eventLoop());
      DefaultHttpHeaders headers = new DefaultHttpHeaders();
      CallerRequest request =
          new CallerRequest(HttpMethod.POST, "/x", headers, new byte[0], 0, false, "127.0.0.1");
      RequestPlacement.Request placed =
          new RequestPlacement.Request(
              ROUTE,
              "s",
              new RequestTimes(ENVIRONMENT, ROUTE, request),
              new Authenticator(ENVIRONMENT).openAccess(),
              new RequestReport(ENVIRONMENT, "1"));
      placement = new RequestPlacement(loop, this, queue, Mechanisms.ALL, placed, this);
      placement.place();
    }

    void happens(Event event) {
      switch (event) {
        case TIMER -> {
          channel.advanceTimeBy(TIMER_MILLIS, TimeUnit.MILLISECONDS);
          channel.runScheduledPendingTasks();
        }
        case SERVER_FOUND -> endSearches(new Result.Chosen(nextServer()));
        case ALL_BUSY -> endSearches(new Result.Full(0));
        case NO_SERVER -> endSearches(new Result.None());
        case OFFER -> queue.peek("s").ifPresent(first -> first.acceptOffer(nextServer()));
        case VERDICT_WAIT -> verdict = Verdict.WAIT;
        case VERDICT_ALLOWED -> verdict = Verdict.ALLOWED;
        case VERDICT_REFUSED -> verdict = Verdict.REFUSED;
        case ATTEMPT_NOT_EXECUTED -> {
          if (openAttempts > 0) {
            openAttempts--;
            placement.place();
          }
        }
        case ATTEMPT_BROKEN -> {
          if (openAttempts > 0) {
            openAttempts--;
            possiblyExecuted = true;
            end();
          }
        }
        case CALLER_LEFT -> end();
      }
    }

    private void endSearches(Result result) {
      List<Consumer<Result>> ended = List.copyOf(searches);
      searches.clear();
      ended.forEach(search -> search.accept(result));
    }

    private ServerState nextServer() {
      servers++;
      return new ServerState(Servers.entry("server-" + servers, false), 0);
    }

    private void end() {
      done = true;
      placement.stop();
    }

    private void assertConsistent(String sequence) {
      assertTrue(openAttempts <= 1, "two attempts are open after " + sequence);
      boolean timer = channel.runScheduledPendingTasks() >= 0;
      if (done) {
        assertFalse(timer, "a timer outlives the request after " + sequence);
        assertEquals(queue.size("s"), 0, sequence);
      } else if (openAttempts == 0) {
        assertTrue(timer || !searches.isEmpty(), "nothing finds a server after " + sequence);
      }
    }

    @Override
    public boolean awaitsServer() {
      return !done && openAttempts == 0 && !possiblyExecuted;
    }

    @Override
    public boolean mayBeSent() {
      return awaitsServer();
    }

    @Override
    public Verdict verdict() {
      return verdict;
    }

    @Override
    public void refuseCrashing() {
      refuse();
    }

    @Override
    public void startAttempt(ServerState server) {
      assertFalse(done, "sent after the final response");
      openAttempts++;
    }

    @Override
    public void giveUp(String reason, RetryAfter.Cause cause) {
      refuse();
    }

    private void refuse() {
      assertEquals(openAttempts, 0, "attempts that are open when the request is refused");
      end();
    }

    @Override
    public void search(ServerQuery query, Set<String> excluded, Consumer<Result> found) {
      searches.add(found);
    }

    @Override
    public void recordFirstSearch(String service, Timeliness timeliness, boolean found) {
      // Not needed for a single request.
    }

    @Override
    public boolean isSuitable(ServerState server, ServerQuery query) {
      return true;
    }
  }

  /**
   * Guards against a second send or a false refusal of a request that is at a server, and against a
   * request that nothing sends, whatever the order of events.
   */
  @Test
  public void isAtOneServerAtMostAndNeverForgotten() {
    int sequences = 1;
    for (int i = 0; i < SEQUENCE_LENGTH; i++) {
      sequences *= Event.values().length;
    }
    for (int sequence = 0; sequence < sequences; sequence++) {
      play(sequence);
    }
  }

  private static void play(int sequence) {
    Subject subject = new Subject();
    List<Event> played = new ArrayList<>();
    int rest = sequence;
    for (int i = 0; i < SEQUENCE_LENGTH; i++) {
      Event event = Event.values()[rest % Event.values().length];
      rest /= Event.values().length;
      played.add(event);
      subject.happens(event);
      subject.assertConsistent(played.toString());
    }
  }
}
