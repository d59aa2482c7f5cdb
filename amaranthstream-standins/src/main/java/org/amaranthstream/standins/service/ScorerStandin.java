package org.amaranthstream.standins.service;

import org.amaranthstream.standins.server.Standin;
import org.amaranthstream.standins.server.StandinBuilder;
import org.amaranthstream.standins.server.StandinServer;

/** Stand-in for a service that scores samples. */
public final class ScorerStandin extends Standin {
  private ScorerStandin(StandinServer server) {
    super(server);
  }

  /** Returns a new builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of scorers. Not thread safe. */
  public static final class Builder extends StandinBuilder<Builder> {
    private Builder() {}

    @Override
    protected Builder self() {
      return this;
    }

    /** Starts the scorer. */
    public ScorerStandin start() {
      return new ScorerStandin(start(new ScorerRole()));
    }
  }
}
