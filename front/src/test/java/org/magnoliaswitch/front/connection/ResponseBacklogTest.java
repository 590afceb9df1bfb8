package org.magnoliaswitch.front.connection;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests which connection is closed when the responses of all of them exceed the limit. */
public final class ResponseBacklogTest {
  private final List<String> evicted = new ArrayList<>();
  private final ResponseBacklog backlog = new ResponseBacklog(100);

  private ResponseBacklog.Share open(String name) {
    return backlog.open(() -> evicted.add(name));
  }

  /** Guards against callers that read nothing and take the memory of those that read. */
  @Test
  public void connectionThatHoldsTheMostIsEvicted() {
    evicted.clear();
    ResponseBacklog.Share small = open("small");
    ResponseBacklog.Share large = open("large");
    large.add(60);
    small.add(40);
    assertEquals(evicted, List.of());
    small.add(1);
    assertEquals(evicted, List.of("large"));
    assertEquals(backlog.heldBytes(), 41);
    large.remove(60);
    large.add(10);
    assertEquals(backlog.heldBytes(), 41);
    small.close();
    assertEquals(backlog.heldBytes(), 0);
  }

  /** Guards against a limit that a connection cannot exceed without evicting all others. */
  @Test
  public void connectionThatExceedsTheLimitAloneIsEvictedItself() {
    evicted.clear();
    ResponseBacklog.Share other = open("other");
    other.add(10);
    ResponseBacklog.Share own = open("own");
    own.add(101);
    assertEquals(evicted, List.of("own"));
    assertEquals(backlog.heldBytes(), 10);
    other.remove(10);
    assertEquals(backlog.heldBytes(), 0);
  }
}
