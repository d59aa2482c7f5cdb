package org.amaranthstream.bench.baseline;

import org.amaranthstream.dispatch.QueueOrder;
import org.amaranthstream.dispatch.QueuedRequest;

/** Interactive requests always first; earliest deadline first within a priority. */
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
