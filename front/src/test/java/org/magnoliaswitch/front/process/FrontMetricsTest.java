package org.magnoliaswitch.front.process;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests the metrics page. */
public final class FrontMetricsTest {
  @Test
  public void countsBetweenScrapesAreShown() {
    FrontMetrics metrics = new FrontMetrics();
    metrics.count("requests", "s", "answered");
    metrics.gauge("instances", () -> 17);
    metrics.scrape();
    metrics.count("requests", "s", "answered");
    metrics.count("requests", "s", "no_room");
    metrics.latency("s", TimeUnit.MILLISECONDS.toNanos(120));
    String page = metrics.scrape();
    assertTrue(page.contains("magnolia_requests_total{result=\"answered\",service=\"s\"} 2"), page);
    assertTrue(page.contains("magnolia_requests_total{result=\"no_room\",service=\"s\"} 1"), page);
    assertTrue(page.contains("magnolia_instances 17"), page);
    assertTrue(page.contains("quantile=\"0.99\",service=\"s\"} 12"), page);
  }
}
