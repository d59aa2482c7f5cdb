package org.amaranthstream.standins.engine;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import org.amaranthstream.standins.server.StandinBuilder;

/**
 * Capacities and timing of a model engine. Not thread safe.
 *
 * @param <B> the type of the builder
 */
abstract class EngineOptions<B extends EngineOptions<B>> extends StandinBuilder<B> {
  int slots = 8;
  int queue = 64;
  double tokenIntervalMs = 5;
  int tokensPerChunk = 4;
  int maxBatch = 8;
  int prefillMs = 20;
  int cacheEntries = 64;
  int reportLagMs;
  int swapMs = 50;
  boolean checksFencing = true;
  long version = 1;

  /** Sets the number of requests that run concurrently. */
  @CanIgnoreReturnValue
  public B slots(int slots) {
    this.slots = slots;
    return self();
  }

  /** Sets the capacity of the queue, in requests. */
  @CanIgnoreReturnValue
  public B queue(int queue) {
    this.queue = queue;
    return self();
  }

  /** Sets the time between two tokens of a response, in ms. */
  @CanIgnoreReturnValue
  public B tokenIntervalMs(double tokenIntervalMs) {
    this.tokenIntervalMs = tokenIntervalMs;
    return self();
  }

  /** Sets the number of tokens per line of the stream. */
  @CanIgnoreReturnValue
  public B tokensPerChunk(int tokensPerChunk) {
    this.tokensPerChunk = tokensPerChunk;
    return self();
  }

  /** Sets the number of running requests above which the token interval grows in proportion. */
  @CanIgnoreReturnValue
  public B maxBatch(int maxBatch) {
    this.maxBatch = maxBatch;
    return self();
  }

  /** Sets the time to the first token on a prefix cache miss, in ms. */
  @CanIgnoreReturnValue
  public B prefillMs(int prefillMs) {
    this.prefillMs = prefillMs;
    return self();
  }

  /** Sets the capacity of the prefix cache, in entries. */
  @CanIgnoreReturnValue
  public B cacheEntries(int cacheEntries) {
    this.cacheEntries = cacheEntries;
    return self();
  }

  /** Sets the refresh interval of the load report, in ms; 0 reports the current load. */
  @CanIgnoreReturnValue
  public B reportLagMs(int reportLagMs) {
    this.reportLagMs = reportLagMs;
    return self();
  }

  /** Sets the duration of a weight swap, in ms. */
  @CanIgnoreReturnValue
  public B swapMs(int swapMs) {
    this.swapMs = swapMs;
    return self();
  }

  /** Sets whether orders with a fencing token below the highest one received are rejected. */
  @CanIgnoreReturnValue
  public B checksFencing(boolean checksFencing) {
    this.checksFencing = checksFencing;
    return self();
  }

  /** Sets the initial weight version. */
  @CanIgnoreReturnValue
  public B version(long version) {
    this.version = version;
    return self();
  }
}
