package org.magnoliaswitch.front.testing;

import org.magnoliaswitch.front.version.HeaderNames;

/** Header names that tests use between callers, instances and backend servers. */
public final class TestHeaders {
  /** The configured header names. */
  public static final HeaderNames NAMES =
      new HeaderNames(
          "Request-Id",
          "Deadline-Millis",
          "Expected-Server",
          "Not-Run",
          "Load",
          "Server-Id",
          "Warmup-Left",
          "Leaving",
          "Request-Limit",
          "Team");

  private TestHeaders() {}
}
