package org.amaranthstream.bench.baseline;

import org.amaranthstream.dispatch.QueueOrder;
import org.amaranthstream.dispatch.QueuedRequest;

/**
 * Queue order for comparison that always sends interactive requests first, and within a priority
 * the request with the earliest deadline.
 */
public final class InteractiveFirstOrder implements QueueOrder {

  @Override
  public long rank(QueuedRequest request) {
    return request.deadlineNanos();
  }

  @Override
  public boolean isTrainingNext(Turn turn) {
    return false;
  }

  @Override
  public void onSent(Turn turn, boolean training) {}
}
