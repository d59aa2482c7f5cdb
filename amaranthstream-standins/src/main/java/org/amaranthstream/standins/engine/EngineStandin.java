package org.amaranthstream.standins.engine;

import org.amaranthstream.standins.server.Standin;
import org.amaranthstream.standins.server.StandinServer;

/**
 * Stand-in for a model engine that streams tokens.
 *
 * <pre>{@code
 * try (EngineStandin engine = EngineStandin.builder().slots(8).tokenIntervalMs(2).start()) {
 *   engine.control("{\"poisonMarker\": \"POISON\", \"restartAfterMs\": 500}");
 * }
 * }</pre>
 */
public final class EngineStandin extends Standin {
  private EngineStandin(StandinServer server) {
    super(server);
  }

  /** Returns a new builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of model engines. Not thread safe. */
  public static final class Builder extends EngineOptions<Builder> {
    private Builder() {}

    @Override
    protected Builder self() {
      return this;
    }

    /** Starts the engine. */
    public EngineStandin start() {
      return new EngineStandin(start(new EngineRole(this)));
    }
  }
}
