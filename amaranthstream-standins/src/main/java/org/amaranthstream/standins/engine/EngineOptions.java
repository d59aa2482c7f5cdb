package org.amaranthstream.standins.engine;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import org.amaranthstream.standins.server.StandinBuilder;

/**
 * Sizes and times of a model engine.
 *
 * @param <B> the builder's own type
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

  /** Sets the number of requests that run at once. */
  @CanIgnoreReturnValue
  public B slots(int slots) {
    this.slots = slots;
    return self();
  }

  /** Sets the number of requests that may wait for a slot. */
  @CanIgnoreReturnValue
  public B queue(int queue) {
    this.queue = queue;
    return self();
  }

  /** Sets the time from one token of an answer to the next, in ms. */
  @CanIgnoreReturnValue
  public B tokenIntervalMs(double tokenIntervalMs) {
    this.tokenIntervalMs = tokenIntervalMs;
    return self();
  }

  /** Sets the number of tokens on one line of the stream. */
  @CanIgnoreReturnValue
  public B tokensPerChunk(int tokensPerChunk) {
    this.tokensPerChunk = tokensPerChunk;
    return self();
  }

  /** Sets the number of running requests above which the token interval grows with them. */
  @CanIgnoreReturnValue
  public B maxBatch(int maxBatch) {
    this.maxBatch = maxBatch;
    return self();
  }

  /** Sets the time to the first token without a hit in the prefix cache, in ms. */
  @CanIgnoreReturnValue
  public B prefillMs(int prefillMs) {
    this.prefillMs = prefillMs;
    return self();
  }

  /** Sets the number of prefixes that the cache holds. */
  @CanIgnoreReturnValue
  public B cacheEntries(int cacheEntries) {
    this.cacheEntries = cacheEntries;
    return self();
  }

  /** Sets the period at which the load report is taken, in ms; 0 reports the present. */
  @CanIgnoreReturnValue
  public B reportLagMs(int reportLagMs) {
    this.reportLagMs = reportLagMs;
    return self();
  }

  /** Sets the time that loading a version takes, in ms. */
  @CanIgnoreReturnValue
  public B swapMs(int swapMs) {
    this.swapMs = swapMs;
    return self();
  }

  /** Sets whether an order with an old fencing number is refused. */
  @CanIgnoreReturnValue
  public B checksFencing(boolean checksFencing) {
    this.checksFencing = checksFencing;
    return self();
  }

  /** Sets the weight version that is loaded at the start. */
  @CanIgnoreReturnValue
  public B version(long version) {
    this.version = version;
    return self();
  }
}
