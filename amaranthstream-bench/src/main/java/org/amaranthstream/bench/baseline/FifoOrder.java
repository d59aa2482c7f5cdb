package org.amaranthstream.bench.baseline;

import org.amaranthstream.dispatch.QueueOrder;
import org.amaranthstream.dispatch.QueuedRequest;

/** Queue order for comparison: first in, first out, across both priorities. */
public final class FifoOrder implements QueueOrder {

  @Override
  public long rank(QueuedRequest request) {
    return request.arrival();
  }

  @Override
  public boolean isTrainingNext(Turn turn) {
    return turn.training().arrival() < turn.interactive().arrival();
  }

  @Override
  public void onSent(Turn turn, boolean training) {}
}
