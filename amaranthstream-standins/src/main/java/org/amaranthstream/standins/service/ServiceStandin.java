package org.amaranthstream.standins.service;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import org.amaranthstream.standins.server.Standin;
import org.amaranthstream.standins.server.StandinBuilder;
import org.amaranthstream.standins.server.StandinServer;

/**
 * A plain service. It answers {@code {"served": digest}}, where the digest is the first 16
 * hexadecimal digits of the SHA-256 of the call's body, and its ledger has the digest as the key.
 */
public final class ServiceStandin extends Standin {
  private ServiceStandin(StandinServer server) {
    super(server);
  }

  /** Returns the key under which the ledger has calls with {@code body}. */
  public static String keyOf(String body) {
    return ServiceRole.digest(body);
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds a plain service. */
  public static final class Builder extends StandinBuilder<Builder> {
    int slots = 16;
    int queue = 64;
    double serviceMs = 10;

    private Builder() {}

    @Override
    protected Builder self() {
      return this;
    }

    /** Sets the number of calls that run at once. */
    @CanIgnoreReturnValue
    public Builder slots(int slots) {
      this.slots = slots;
      return this;
    }

    /** Sets the number of calls that may wait for a slot. */
    @CanIgnoreReturnValue
    public Builder queue(int queue) {
      this.queue = queue;
      return this;
    }

    /** Sets the time of a call, in ms. */
    @CanIgnoreReturnValue
    public Builder serviceMs(double serviceMs) {
      this.serviceMs = serviceMs;
      return this;
    }

    /** Starts it. */
    public ServiceStandin start() {
      return new ServiceStandin(start(new ServiceRole(this)));
    }
  }
}
