package org.amaranthstream.rollout;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.EnumSet;
import java.util.concurrent.atomic.LongAdder;

/** Counters of the events of steps. Thread safe. */
public final class RolloutCounters {
  private final ImmutableMap<RolloutEvent, LongAdder> counts =
      Maps.toMap(EnumSet.allOf(RolloutEvent.class), event -> new LongAdder());

  /** Returns the count of {@code event}. */
  public long count(RolloutEvent event) {
    return counts.get(event).sum();
  }

  /** Returns a snapshot of all counts. */
  public ImmutableMap<RolloutEvent, Long> snapshot() {
    return ImmutableMap.copyOf(Maps.transformValues(counts, LongAdder::sum));
  }

  void increment(RolloutEvent event) {
    counts.get(event).increment();
  }
}
