package org.amaranthstream.standins.kv;

/** Token bucket that holds the calls of one second. */
final class RateLimit {
  private static final double NANOS_PER_SECOND = 1e9;

  private double tokens;
  private long lastNanos;

  /** Takes a token; false if none is left. A limit of 0 is none. */
  boolean take(int perSecond, long nowNanos) {
    if (perSecond <= 0) {
      return true;
    }
    double earned = (nowNanos - lastNanos) / NANOS_PER_SECOND * perSecond;
    tokens = Math.min(perSecond, tokens + earned);
    lastNanos = nowNanos;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
