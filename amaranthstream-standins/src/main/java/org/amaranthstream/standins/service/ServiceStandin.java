package org.amaranthstream.standins.service;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import org.amaranthstream.standins.server.Standin;
import org.amaranthstream.standins.server.StandinBuilder;
import org.amaranthstream.standins.server.StandinServer;

/**
 * Stand-in for a plain service. It responds to a call with {@code {"served": digest}}, where the
 * digest is the first 16 hexadecimal digits of the SHA-256 of the call's body. The digest is also
 * the key of the call's run in the ledger.
 */
public final class ServiceStandin extends Standin {
  private ServiceStandin(StandinServer server) {
    super(server);
  }

  /** Returns the ledger key of calls with {@code body}. */
  public static String keyOf(String body) {
    return ServiceRole.digest(body);
  }

  /** Returns a new builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of plain services. Not thread safe. */
  public static final class Builder extends StandinBuilder<Builder> {
    int slots = 16;
    int queue = 64;
    double serviceMs = 10;

    private Builder() {}

    @Override
    protected Builder self() {
      return this;
    }

    /** Sets the number of calls that run concurrently. */
    @CanIgnoreReturnValue
    public Builder slots(int slots) {
      this.slots = slots;
      return this;
    }

    /** Sets the capacity of the queue, in calls. */
    @CanIgnoreReturnValue
    public Builder queue(int queue) {
      this.queue = queue;
      return this;
    }

    /** Sets the time that a call takes, in ms. */
    @CanIgnoreReturnValue
    public Builder serviceMs(double serviceMs) {
      this.serviceMs = serviceMs;
      return this;
    }

    /** Starts the service. */
    public ServiceStandin start() {
      return new ServiceStandin(start(new ServiceRole(this)));
    }
  }
}
