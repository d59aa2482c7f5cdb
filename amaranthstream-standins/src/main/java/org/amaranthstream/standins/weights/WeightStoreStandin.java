package org.amaranthstream.standins.weights;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import org.amaranthstream.standins.server.Standin;
import org.amaranthstream.standins.server.StandinBuilder;
import org.amaranthstream.standins.server.StandinServer;

/** A weight store with a rate limit. */
public final class WeightStoreStandin extends Standin {
  private WeightStoreStandin(StandinServer server) {
    super(server);
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds a weight store. */
  public static final class Builder extends StandinBuilder<Builder> {
    double megabitsPerSecond = 300;
    long sizeBytes = 1 << 20;

    private Builder() {}

    @Override
    protected Builder self() {
      return this;
    }

    /** Sets the rate that all transfers share, in Mbit/s. */
    @CanIgnoreReturnValue
    public Builder megabitsPerSecond(double megabitsPerSecond) {
      this.megabitsPerSecond = megabitsPerSecond;
      return this;
    }

    /** Sets the size of one version's weights, in bytes. */
    @CanIgnoreReturnValue
    public Builder sizeBytes(long sizeBytes) {
      this.sizeBytes = sizeBytes;
      return this;
    }

    /** Starts it. */
    public WeightStoreStandin start() {
      return new WeightStoreStandin(start(new WeightStoreRole(this)));
    }
  }
}
