package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.magnoliaswitch.core.peer.Claim;
import org.magnoliaswitch.core.peer.ClaimResult;
import org.magnoliaswitch.core.peer.ClaimResult.Status;
import org.magnoliaswitch.core.testing.FakePlatform;
import org.magnoliaswitch.core.testing.FakePlatform.Fault;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests claims that share transactions. */
public final class ClaimBatcherTest {
  private FakePlatform platform = new FakePlatform();
  private ClaimBatcher batcher = new ClaimBatcher(platform);

  @BeforeMethod
  public void setUp() {
    platform = new FakePlatform();
    batcher = new ClaimBatcher(platform);
  }

  @DataProvider
  public static Object[][] faults() {
    return new Object[][] {
      {Fault.NONE, Status.GRANTED},
      {Fault.ANSWER_LOST, Status.GRANTED},
      {Fault.DROPPED, Status.UNAVAILABLE},
      {Fault.DELAYED, Status.UNAVAILABLE},
    };
  }

  @Test(dataProvider = "faults")
  public void reportsTheResultOfEachFault(Fault fault, Status expected) {
    platform.queueFaults(fault);
    assertEquals(claim("k", "a").status(), expected);
  }

  /**
   * A claim is applied after its holder answered that keys cannot be claimed at present. The caller
   * retries at the same instance or at another one: the holder may execute the key, the other
   * instance is referred to it.
   */
  @Test
  public void aClaimAppliedLateStillBelongsToItsHolder() {
    platform.queueFaults(Fault.DELAYED);
    claim("k", "a");
    platform.applyDelayedWrites();
    assertEquals(claim("k", "b").holder(), "a");
    assertEquals(claim("k", "a").status(), Status.GRANTED);
  }

  @Test
  public void aClaimAppliedLateCannotTakeAKeyFromAnother() {
    platform.queueFaults(Fault.DELAYED);
    claim("k", "a");
    claim("k", "b");
    platform.applyDelayedWrites();
    assertEquals(claim("k", "a").holder(), "b");
  }

  @Test
  public void manyClaimsShareOneTransaction() {
    List<CompletableFuture<ClaimResult>> results = new ArrayList<>();
    for (int i = 0; i < ClaimBatcher.MAX_BATCH; i++) {
      results.add(batcher.add(new Claim("k" + i, "a", "f", 0, 60)));
    }
    batcher.flush();
    assertEquals(platform.transactions(), 1);
    assertEquals(
        results.stream().filter(r -> r.join().status() == Status.GRANTED).count(),
        ClaimBatcher.MAX_BATCH);
  }

  @Test
  public void oneHeldKeyDoesNotFailTheOthersOfItsBatch() {
    claim("held", "b");
    CompletableFuture<ClaimResult> held = batcher.add(new Claim("held", "a", "f", 0, 60));
    CompletableFuture<ClaimResult> free = batcher.add(new Claim("free", "a", "f", 0, 60));
    batcher.flush();
    assertEquals(held.join().holder(), "b");
    assertEquals(free.join().status(), Status.GRANTED);
  }

  @Test
  public void twoHoldersInOneBatchGetOneGrant() {
    CompletableFuture<ClaimResult> first = batcher.add(new Claim("k", "a", "f", 0, 60));
    CompletableFuture<ClaimResult> second = batcher.add(new Claim("k", "b", "f", 0, 60));
    batcher.flush();
    assertEquals(first.join().status(), Status.GRANTED);
    assertEquals(second.join().holder(), "a");
  }

  private ClaimResult claim(String key, String incarnation) {
    CompletableFuture<ClaimResult> result = batcher.add(new Claim(key, incarnation, "f", 0, 60));
    batcher.flush();
    return result.join();
  }
}
