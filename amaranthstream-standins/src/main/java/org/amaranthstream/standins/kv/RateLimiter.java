package org.amaranthstream.standins.kv;

/** Token bucket rate limiter with a burst of one second. Not thread safe. */
final class RateLimiter {
  private static final double NANOS_PER_SECOND = 1e9;

  private double tokens;
  private long lastNanos;

  /**
   * Acquires a permit, if one is available.
   *
   * @param perSecond the rate limit; 0 or less means unlimited
   * @return true if the call is within the rate limit
   */
  boolean tryAcquire(int perSecond, long nowNanos) {
    if (perSecond <= 0) {
      return true;
    }
    double refilled = (nowNanos - lastNanos) / NANOS_PER_SECOND * perSecond;
    tokens = Math.min(perSecond, tokens + refilled);
    lastNanos = nowNanos;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
