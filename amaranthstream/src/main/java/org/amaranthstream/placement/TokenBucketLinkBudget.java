package org.amaranthstream.placement;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Byte budget kept as a token bucket: it refills at a constant rate up to its capacity.
 *
 * <p>Not thread safe.
 */
public final class TokenBucketLinkBudget implements LinkBudget {
  private static final double NANOS_PER_SECOND = 1e9;

  private final double bytesPerSecond;
  private final double capacityBytes;
  private double available;
  private long updatedNanos;

  private TokenBucketLinkBudget(long bytesPerSecond, long capacityBytes, long nowNanos) {
    this.bytesPerSecond = bytesPerSecond;
    this.capacityBytes = capacityBytes;
    this.available = capacityBytes;
    this.updatedNanos = nowNanos;
  }

  /**
   * Returns a full budget.
   *
   * @param bytesPerSecond the refill rate
   * @param capacityBytes the maximum budget, in bytes
   * @param nowNanos the current monotonic time, in nanoseconds
   */
  public static TokenBucketLinkBudget create(
      long bytesPerSecond, long capacityBytes, long nowNanos) {
    checkArgument(bytesPerSecond >= 0, "rate is negative: %s", bytesPerSecond);
    checkArgument(capacityBytes >= 0, "capacity is negative: %s", capacityBytes);
    return new TokenBucketLinkBudget(bytesPerSecond, capacityBytes, nowNanos);
  }

  @Override
  public boolean allows(long bytes, long nowNanos) {
    fill(nowNanos);
    return available >= bytes;
  }

  @Override
  public void spend(long bytes, long nowNanos) {
    fill(nowNanos);
    available -= bytes;
  }

  private void fill(long nowNanos) {
    double seconds = Math.max(0, nowNanos - updatedNanos) / NANOS_PER_SECOND;
    available = Math.min(capacityBytes, available + seconds * bytesPerSecond);
    updatedNanos = nowNanos;
  }
}
