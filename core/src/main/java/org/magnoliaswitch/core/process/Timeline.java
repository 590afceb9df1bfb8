package org.magnoliaswitch.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.jspecify.annotations.Nullable;
import org.magnoliaswitch.core.clock.HybridClock;

/** A bounded ring buffer of the most recent events of one process; the oldest are overwritten. */
public final class Timeline {
  private final String instance;
  private final HybridClock clock;
  private final AtomicReferenceArray<@Nullable TimelineEvent> ring;
  private final AtomicLong next = new AtomicLong();

  public Timeline(String instance, HybridClock clock, int capacity) {
    this.instance = instance;
    this.clock = clock;
    this.ring = new AtomicReferenceArray<>(capacity);
  }

  /** Records an event about a request. */
  public void record(EventKind kind, String request, String service, String server, String detail) {
    TimelineEvent event =
        new TimelineEvent(clock.next(), instance, kind, request, service, server, detail);
    ring.set((int) (next.getAndIncrement() % ring.length()), event);
  }

  /** Records an event that is not about a request. */
  public void record(EventKind kind, String detail) {
    record(kind, "", "", "", detail);
  }

  /** Returns the events in the buffer, oldest first. */
  public List<TimelineEvent> events() {
    List<TimelineEvent> events = new ArrayList<>();
    for (int i = 0; i < ring.length(); i++) {
      TimelineEvent event = ring.get(i);
      if (event != null) {
        events.add(event);
      }
    }
    events.sort((a, b) -> a.time().compareTo(b.time()));
    return events;
  }

  /** Returns the clock that timestamps the events. */
  public HybridClock clock() {
    return clock;
  }
}
