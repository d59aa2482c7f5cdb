package org.amaranthstream.weights;

import java.util.function.Consumer;

/** Client that sends load orders to the model engines of the local availability zone. */
@FunctionalInterface
public interface EngineClient {

  /**
   * Sends a load order. The consumer is called exactly once, on the decision thread, at the latest
   * when the implementation's timeout expires.
   */
  void load(LoadOrder order, Consumer<LoadReply> consumer);
}
