package org.amaranthstream.idempotency;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.EnumSet;
import java.util.concurrent.atomic.LongAdder;

/** Counters of claim events since the process started. Thread safe. */
public final class ClaimCounters {
  private final ImmutableMap<ClaimEvent, LongAdder> counts =
      Maps.toMap(EnumSet.allOf(ClaimEvent.class), event -> new LongAdder());

  /** Returns the count of {@code event}. */
  public long count(ClaimEvent event) {
    return counts.get(event).sum();
  }

  /** Returns a snapshot of all counts. */
  public ImmutableMap<ClaimEvent, Long> snapshot() {
    return ImmutableMap.copyOf(Maps.transformValues(counts, LongAdder::sum));
  }

  void increment(ClaimEvent event) {
    counts.get(event).increment();
  }
}
