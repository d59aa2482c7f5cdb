package org.amaranthstream.weights;

import java.util.function.Consumer;

/** Gives orders to the model engines of the own availability zone. */
@FunctionalInterface
public interface EngineClient {

  /**
   * Gives an order. The consumer is called exactly once, on the decision thread, at the latest when
   * the implementation's timeout has passed.
   */
  void load(LoadOrder order, Consumer<LoadReply> consumer);
}
