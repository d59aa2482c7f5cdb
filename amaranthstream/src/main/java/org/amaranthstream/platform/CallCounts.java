package org.amaranthstream.platform;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.Arrays;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of platform calls, by kind.
 *
 * <p>Thread safe.
 */
public final class CallCounts {
  private final ImmutableMap<CallKind, LongAdder> sent = adders();
  private final ImmutableMap<CallKind, LongAdder> overBudget = adders();
  private final ImmutableMap<CallKind, LongAdder> failed = adders();

  CallCounts() {}

  private static ImmutableMap<CallKind, LongAdder> adders() {
    return Maps.toMap(Arrays.asList(CallKind.values()), kind -> new LongAdder());
  }

  /** Returns the number of calls that were sent. */
  public long sent(CallKind kind) {
    return sent.get(kind).sum();
  }

  /** Returns the number of calls that were not sent because they exceeded the budget. */
  public long overBudget(CallKind kind) {
    return overBudget.get(kind).sum();
  }

  /** Returns the number of calls that the service rejected or that got no response. */
  public long failed(CallKind kind) {
    return failed.get(kind).sum();
  }

  void countSent(CallKind kind) {
    sent.get(kind).increment();
  }

  void countOverBudget(CallKind kind) {
    overBudget.get(kind).increment();
  }

  void countFailed(CallKind kind) {
    failed.get(kind).increment();
  }
}
