package org.amaranthstream.standins.service;

import org.amaranthstream.standins.server.Standin;
import org.amaranthstream.standins.server.StandinBuilder;
import org.amaranthstream.standins.server.StandinServer;

/** A service that scores samples. */
public final class ScorerStandin extends Standin {
  private ScorerStandin(StandinServer server) {
    super(server);
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds a scorer. */
  public static final class Builder extends StandinBuilder<Builder> {
    private Builder() {}

    @Override
    protected Builder self() {
      return this;
    }

    /** Starts it. */
    public ScorerStandin start() {
      return new ScorerStandin(start(new ScorerRole()));
    }
  }
}
