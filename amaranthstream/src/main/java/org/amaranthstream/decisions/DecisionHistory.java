package org.amaranthstream.decisions;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthstream.ids.RequestId;

/**
 * In-memory store of the newest decision records, indexed by request.
 *
 * <p>Thread safe. When the store is full, the oldest record is evicted.
 */
public final class DecisionHistory implements DecisionSink {
  private final int capacity;
  private final Deque<DecisionRecord> newest = new ArrayDeque<>();
  private final Map<RequestId, List<DecisionRecord>> byRequest = new HashMap<>();

  private DecisionHistory(int capacity) {
    this.capacity = capacity;
  }

  /** Returns an empty history of at most {@code capacity} records. */
  public static DecisionHistory withCapacity(int capacity) {
    checkArgument(capacity > 0, "capacity is not positive: %s", capacity);
    return new DecisionHistory(capacity);
  }

  @Override
  public synchronized void accept(DecisionRecord decision) {
    if (newest.size() == capacity) {
      removeFromIndex(newest.removeFirst());
    }
    newest.addLast(decision);
    byRequest.computeIfAbsent(decision.request(), r -> new ArrayList<>(4)).add(decision);
  }

  /** Returns the records of a request that were not evicted, oldest first. */
  public synchronized ImmutableList<DecisionRecord> of(RequestId request) {
    return ImmutableList.copyOf(byRequest.getOrDefault(request, List.of()));
  }

  /** Returns the number of stored records. */
  public synchronized int size() {
    return newest.size();
  }

  private void removeFromIndex(DecisionRecord oldest) {
    List<DecisionRecord> records = byRequest.get(oldest.request());
    records.remove(0);
    if (records.isEmpty()) {
      byRequest.remove(oldest.request());
    }
  }
}
