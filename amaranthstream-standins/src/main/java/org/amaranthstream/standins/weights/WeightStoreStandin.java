package org.amaranthstream.standins.weights;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import org.amaranthstream.standins.server.Standin;
import org.amaranthstream.standins.server.StandinBuilder;
import org.amaranthstream.standins.server.StandinServer;

/** Stand-in for a weight store with a limited transfer rate. */
public final class WeightStoreStandin extends Standin {
  private WeightStoreStandin(StandinServer server) {
    super(server);
  }

  /** Returns a new builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of weight stores. Not thread safe. */
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

    /** Sets the size of the content of each version, in bytes. */
    @CanIgnoreReturnValue
    public Builder sizeBytes(long sizeBytes) {
      this.sizeBytes = sizeBytes;
      return this;
    }

    /** Starts the weight store. */
    public WeightStoreStandin start() {
      return new WeightStoreStandin(start(new WeightStoreRole(this)));
    }
  }
}
