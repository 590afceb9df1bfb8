package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.core.crash.RequestIdentity;
import org.magnoliaswitch.core.crash.SuspicionLevel;
import org.magnoliaswitch.core.process.CrashWatch;
import org.magnoliaswitch.front.testing.TestEnvironment;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests server crashes in a store that loses rows, does not confirm writes or is changed by others.
 */
public final class CrashArchiveTest {
  private static final RequestIdentity REQUEST = new RequestIdentity(1, 2);

  private Environment environment = TestEnvironment.withoutConfiguration();
  private Store store = new Store();
  private CrashArchive archive = archive();

  /** A store whose rows a test sets and whose changes it inspects. */
  private static final class Store implements CrashStore {
    private final List<StoredCrash> rows = new ArrayList<>();
    private long epoch = 1;
    private final BlockingQueue<List<CrashReport.Crashed>> puts = new LinkedBlockingQueue<>();
    private final BlockingQueue<List<CrashReport.Crashed>> removals = new LinkedBlockingQueue<>();
    private final AtomicBoolean confirms = new AtomicBoolean(true);

    @Override
    public void read(Consumer<StateSource.Read<StoredCrashes>> listener) {
      listener.accept(new StateSource.Read.Known<>(new StoredCrashes(epoch, rows)));
    }

    @Override
    public void change(
        Collection<CrashReport.Crashed> added,
        Collection<CrashReport.Crashed> removed,
        Consumer<Boolean> done) {
      // The test may change the result as soon as it has received the puts, so it is read before.
      boolean confirmed = confirms.get();
      if (!added.isEmpty()) {
        puts.add(List.copyOf(added));
      }
      if (!removed.isEmpty()) {
        removals.add(List.copyOf(removed));
      }
      done.accept(confirmed);
    }
  }

  private CrashArchive archive() {
    return new CrashArchive(store, environment, environment.loop(), () -> false);
  }

  @BeforeMethod
  public void createArchive() {
    environment.loop().stop();
    environment = TestEnvironment.withoutConfiguration();
    store = new Store();
    archive = archive();
  }

  @AfterClass
  public void stop() {
    environment.loop().stop();
  }

  private static CrashReport.Crashed ended(String server) {
    return new CrashReport.Crashed(REQUEST, server, false);
  }

  private void onLoop(Runnable task) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    environment.loop().execute(task);
    environment.loop().execute(done::countDown);
    done.await();
  }

  private void observe(CrashReport.Crashed... reports) throws InterruptedException {
    onLoop(
        () -> {
          environment.crashes().receive(List.of(reports), CrashWatch.Source.OWN);
          archive.recordOwn(List.of(reports));
        });
  }

  private CrashStore.StoredCrash now(CrashReport.Crashed ended) {
    return new CrashStore.StoredCrash(ended, environment.clocks().millis());
  }

  @Test
  public void twoCrashesAreWrittenAtOnce() throws InterruptedException {
    observe(ended("a"), ended("b"));
    assertEquals(Set.copyOf(store.puts.take()), Set.of(ended("a"), ended("b")));
  }

  /**
   * Guards against writes for requests that have not caused the crash: a second server answers the
   * request before the delay has passed.
   */
  @Test
  public void crashClearedInTimeIsNotWritten() throws InterruptedException {
    observe(ended("a"));
    environment.crashes().recordAnswer(List.of(REQUEST), "b", environment.clocks().nanos());
    RequestIdentity other = new RequestIdentity(3, 4);
    CrashReport.Crashed later = new CrashReport.Crashed(other, "c", false);
    observe(later);
    assertEquals(store.puts.take(), List.of(later));
  }

  /** Guards against crashes that are lost because the store did not confirm their write. */
  @Test
  public void unconfirmedWriteIsRepeated() throws InterruptedException {
    store.confirms.set(false);
    observe(ended("a"), ended("b"));
    List<CrashReport.Crashed> first = store.puts.take();
    store.confirms.set(true);
    assertEquals(store.puts.take(), first);
  }

  /**
   * Guards against suspicions that are lost with all instances: the first read after a start
   * restores them.
   */
  @Test
  public void startedInstanceReadsCrashesFromStore() throws InterruptedException {
    store.rows.add(now(ended("a")));
    store.rows.add(now(ended("b")));
    store.rows.add(now(new CrashReport.Crashed(REQUEST, "c", true)));
    onLoop(() -> archive.read());
    assertEquals(environment.crashes().table().suspicionLevel(REQUEST), SuspicionLevel.CONFIRMED);
  }

  /** An operator removes the rows of a request after its servers have been fixed. */
  @Test
  public void removedRowsClearSuspicion() throws InterruptedException {
    store.rows.add(now(ended("a")));
    store.rows.add(now(ended("b")));
    onLoop(() -> archive.read());
    store.rows.clear();
    onLoop(() -> archive.read());
    assertEquals(environment.crashes().table().serversCrashedDuring(REQUEST), Set.of());
  }

  /**
   * Guards against clearing a suspicion because the store has been restored from a copy that lacks
   * its rows; they are written again.
   */
  @Test
  public void rowsLostInRestoreAreWrittenAgain() throws InterruptedException {
    store.rows.add(now(ended("a")));
    store.rows.add(now(ended("b")));
    onLoop(() -> archive.read());
    store.rows.removeLast();
    store.epoch++;
    onLoop(() -> archive.read());
    assertEquals(environment.crashes().table().serversCrashedDuring(REQUEST), Set.of("a", "b"));
    assertEquals(store.puts.take(), List.of(ended("b")));
  }

  /** A row that the restored store has and an operator removes later clears the suspicion. */
  @Test
  public void rowsRemovedAfterRestoreClearSuspicion() throws InterruptedException {
    store.rows.add(now(ended("a")));
    store.rows.add(now(ended("b")));
    onLoop(() -> archive.read());
    store.epoch++;
    onLoop(() -> archive.read());
    store.rows.clear();
    onLoop(() -> archive.read());
    assertEquals(environment.crashes().table().serversCrashedDuring(REQUEST), Set.of());
  }

  /**
   * Guards against clearing a suspicion because a read, which overtook this instance's own write,
   * lacks its row. A row that no read has returned yet has not been removed.
   */
  @Test
  public void readWithoutOwnWriteClearsNothing() throws InterruptedException {
    observe(ended("a"), ended("b"));
    assertTrue(store.puts.take().size() > 0);
    onLoop(() -> archive.read());
    assertEquals(environment.crashes().table().serversCrashedDuring(REQUEST), Set.of("a", "b"));
  }

  @Test
  public void clearedAndExpiredRowsAreRemoved() throws InterruptedException {
    observe(ended("a"), ended("b"));
    environment.crashes().recordAnswer(List.of(REQUEST), "c", environment.clocks().nanos());
    CrashReport.Crashed old = new CrashReport.Crashed(new RequestIdentity(5, 6), "d", false);
    long yesterday = environment.clocks().millis() - TimeUnit.DAYS.toMillis(1) - 1;
    store.rows.add(now(ended("a")));
    store.rows.add(new CrashStore.StoredCrash(old, yesterday));
    onLoop(() -> archive.read());
    assertEquals(store.removals.take(), List.of(ended("a"), old));
    assertEquals(environment.crashes().table().serversCrashedDuring(old.request()), Set.of());
  }
}
