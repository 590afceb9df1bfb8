package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.testng.annotations.Test;

/** Tests which tokens are still to be passed on to another seed. */
public final class TokenRequestsTest {
  /** Guards against tokens that are passed on for each report and overflow the other's bucket. */
  @Test
  public void tokensOnTheirWayAreNotPassedOnOnceMore() {
    TokenRequests requests = new TokenRequests();
    requests.update(Map.of("a", 5.0, "b", 2.0), 0);
    requests.passedOn("a", 3, 1);
    requests.passedOn("b", 2, 1);
    assertEquals(requests.missing(), Map.of("a", 2.0));
  }

  @Test
  public void processedTokensAreContainedInTheNextRequest() {
    TokenRequests requests = new TokenRequests();
    requests.update(Map.of("a", 5.0), 0);
    requests.passedOn("a", 5, 1);
    requests.update(Map.of("a", 5.0), 0);
    assertEquals(requests.missing(), Map.of());
    requests.update(Map.of("a", 4.0), 1);
    assertEquals(requests.missing(), Map.of("a", 4.0));
  }
}
