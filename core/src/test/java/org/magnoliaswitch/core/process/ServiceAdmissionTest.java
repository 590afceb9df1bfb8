package org.magnoliaswitch.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.magnoliaswitch.core.testing.Declarations;
import org.magnoliaswitch.core.testing.ManualClock;
import org.magnoliaswitch.core.version.AdmissionPolicy;
import org.testng.annotations.Test;

/** Tests the bound on concurrent requests. */
public final class ServiceAdmissionTest {
  private final ManualClock time = new ManualClock();

  @Test
  public void admitsUpToTheWindow() {
    ServiceAdmission admission = admission(2, 0);
    assertEquals(admit(admission), ServiceAdmission.Verdict.ADMITTED);
    assertEquals(admit(admission), ServiceAdmission.Verdict.ADMITTED);
    assertEquals(admit(admission), ServiceAdmission.Verdict.FULL);
  }

  @Test
  public void shrinksWhenServersReportTooMuchLoad() {
    ServiceAdmission admission = admission(10, 0);
    for (int i = 0; i < 100; i++) {
      admission.recordReport(new LoadReport(18, 6, false));
    }
    assertTrue(admission.window() < 2, "window " + admission.window());
  }

  @Test
  public void growsOnlyWhileItIsUsed() {
    ServiceAdmission admission = admission(10, 0);
    for (int i = 0; i < 50; i++) {
      admission.recordReport(new LoadReport(0, 6, false));
    }
    assertEquals(admission.window(), 10.0);
  }

  @Test
  public void rejectsAtOnceWhatWouldBeTooLate() {
    ServiceAdmission admission = admission(1, 10);
    admit(admission);
    assertEquals(
        admission.admit(Declarations.READ, time.read()), ServiceAdmission.Verdict.TOO_LATE);
  }

  /** Near saturation a hedge would take the capacity that first attempts wait for. */
  @Test
  public void grantsNoSpareCapacityNearTheWindow() {
    ServiceAdmission admission = admission(4, 10);
    assertTrue(admission.tryAcquireSpare());
    admit(admission);
    assertTrue(admission.tryAcquireSpare());
    assertEquals(admission.tryAcquireSpare(), false);
  }

  /** A waiting request is woken by the release of another request, not by polling. */
  @Test
  public void freedCapacityGoesToAWaitingRequest() {
    ServiceAdmission admission = admission(1, 10);
    admit(admission);
    CompletableFuture<ServiceAdmission.Verdict> waiter =
        CompletableFuture.supplyAsync(() -> admit(admission));
    while (admission.waiting() == 0) {
      Thread.onSpinWait();
    }
    admission.release();
    assertEquals(waiter.join(), ServiceAdmission.Verdict.ADMITTED);
    assertEquals(admission.inFlight(), 1);
  }

  private ServiceAdmission.Verdict admit(ServiceAdmission admission) {
    return admission.admit(Declarations.READ, time.read() + Duration.ofMillis(300).toNanos());
  }

  private ServiceAdmission admission(double window, int queue) {
    return new ServiceAdmission(
        new AdmissionPolicy(1.5, queue, true),
        List.of(Declarations.BOOK, Declarations.READ),
        window,
        time.clocks());
  }
}
