package org.amaranthstream.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.calls.UsageRecorder;
import org.amaranthstream.ids.WorkspaceId;

/**
 * The requests that began at this daemon, by window, for the windows that may still be reported.
 * Bounded by the number of workspaces. Not thread safe.
 */
public final class UsageCounters implements UsageRecorder {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_WORKSPACES = 20_000;
  private static final int MAX_UNDECIDED = 10_000;

  private final TrueClock clock;
  private final UsageTiming timing;
  private final TreeMap<Long, Map<WorkspaceId, Long>> windows = new TreeMap<>();

  /** Requests that began while the clock was uncertain, and so have no window yet. */
  private final ArrayDeque<Undecided> undecided = new ArrayDeque<>();

  private boolean hasChanged;

  private record Undecided(WorkspaceId workspace, long atNanos) {}

  private UsageCounters(TrueClock clock, UsageTiming timing) {
    this.clock = clock;
    this.timing = timing;
  }

  /** Returns empty counters. */
  public static UsageCounters create(TrueClock clock, UsageTiming timing) {
    return new UsageCounters(checkNotNull(clock, "clock"), checkNotNull(timing, "timing"));
  }

  @Override
  public void onRequestBegan(WorkspaceId workspace, long atNanos) {
    if (clock.isCertain() || undecided.size() >= MAX_UNDECIDED) {
      count(workspace, clock.millisAt(atNanos));
    } else {
      undecided.add(new Undecided(workspace, atNanos));
    }
  }

  /** Assigns the requests that began while the clock was uncertain, if it is certain now. */
  void decide() {
    while (clock.isCertain() && !undecided.isEmpty()) {
      Undecided request = undecided.remove();
      count(request.workspace(), clock.millisAt(request.atNanos()));
    }
  }

  private void count(WorkspaceId workspace, long atMillis) {
    long window = timing.windowAt(atMillis);
    Map<WorkspaceId, Long> counts = windows.computeIfAbsent(window, unused -> new TreeMap<>());
    boolean isFull = counts.size() >= MAX_WORKSPACES && !counts.containsKey(workspace);
    if (isFull || window < timing.oldestUseful(clock.millis())) {
      logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
          "event=usage_not_counted workspace=%s window=%d", workspace, window);
      return;
    }
    counts.merge(workspace, 1L, Long::sum);
    hasChanged = true;
  }

  /** Returns true if a request was counted since the last call. */
  boolean takeChange() {
    boolean result = hasChanged;
    hasChanged = false;
    return result;
  }

  /** Returns the counts of all windows that may still be reported. */
  ImmutableList<WindowCounts> windows() {
    windows.headMap(timing.oldestUseful(clock.millis())).clear();
    return windows.entrySet().stream()
        .map(
            window ->
                new WindowCounts(window.getKey(), ImmutableSortedMap.copyOf(window.getValue())))
        .collect(ImmutableList.toImmutableList());
  }
}
