package org.amaranthstream.standins.trainer;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.List;
import java.util.Optional;

/**
 * What a trainer does.
 *
 * @param daemons base URLs of daemons, tried in turn
 * @param token bearer token of the trainer
 * @param trainer name of the trainer
 * @param workClass class of its samples
 * @param model model that it trains
 * @param weightStore base URL of the weight store
 * @param engines base URLs of engines whose ledgers judge the versions that samples name
 * @param steps number of steps
 * @param groups groups of a step
 * @param samplesPerGroup samples of a group
 * @param maxTokens greatest number of tokens of a sample
 * @param trainMs time that training on one step takes, in ms
 * @param horizon steps that are submitted ahead of the one awaited
 * @param stalenessBound greatest age of a sample, in versions
 * @param firstVersion weight version at the start
 * @param timeLimitMs time after which no further step is begun, in ms
 */
public record TrainerOptions(
    List<String> daemons,
    Optional<String> token,
    String trainer,
    String workClass,
    String model,
    Optional<String> weightStore,
    List<String> engines,
    int steps,
    int groups,
    int samplesPerGroup,
    int maxTokens,
    int trainMs,
    int horizon,
    long stalenessBound,
    long firstVersion,
    long timeLimitMs) {

  /** Returns a builder; only the daemons have no default. */
  public static Builder builder() {
    return new Builder();
  }

  int slots() {
    return groups * samplesPerGroup;
  }

  /** Builds options. Not thread safe. */
  public static final class Builder {
    private List<String> daemons = List.of();
    private Optional<String> token = Optional.empty();
    private String trainer = "trainer-1";
    private String workClass = "rollout";
    private String model = "coder";
    private Optional<String> weightStore = Optional.empty();
    private List<String> engines = List.of();
    private int steps = 10;
    private int groups = 8;
    private int samplesPerGroup = 8;
    private int maxTokens = 64;
    private int trainMs = 500;
    private int horizon = 2;
    private long stalenessBound = 4;
    private long firstVersion = 1;
    private long timeLimitMs = 600_000;

    private Builder() {}

    /** Sets the base URLs of daemons, tried in turn. */
    @CanIgnoreReturnValue
    public Builder daemons(List<String> daemons) {
      this.daemons = daemons;
      return this;
    }

    /** Sets the bearer token of the trainer. */
    @CanIgnoreReturnValue
    public Builder token(Optional<String> token) {
      this.token = token;
      return this;
    }

    /** Sets the name of the trainer. */
    @CanIgnoreReturnValue
    public Builder trainer(String trainer) {
      this.trainer = trainer;
      return this;
    }

    /** Sets the class of its samples. */
    @CanIgnoreReturnValue
    public Builder workClass(String workClass) {
      this.workClass = workClass;
      return this;
    }

    /** Sets the model that it trains. */
    @CanIgnoreReturnValue
    public Builder model(String model) {
      this.model = model;
      return this;
    }

    /** Sets the base URL of the weight store. */
    @CanIgnoreReturnValue
    public Builder weightStore(Optional<String> weightStore) {
      this.weightStore = weightStore;
      return this;
    }

    /** Sets the base URLs of engines whose ledgers judge the versions that samples name. */
    @CanIgnoreReturnValue
    public Builder engines(List<String> engines) {
      this.engines = engines;
      return this;
    }

    /** Sets the number of steps. */
    @CanIgnoreReturnValue
    public Builder steps(int steps) {
      this.steps = steps;
      return this;
    }

    /** Sets the groups of a step. */
    @CanIgnoreReturnValue
    public Builder groups(int groups) {
      this.groups = groups;
      return this;
    }

    /** Sets the samples of a group. */
    @CanIgnoreReturnValue
    public Builder samplesPerGroup(int samplesPerGroup) {
      this.samplesPerGroup = samplesPerGroup;
      return this;
    }

    /** Sets the greatest number of tokens of a sample. */
    @CanIgnoreReturnValue
    public Builder maxTokens(int maxTokens) {
      this.maxTokens = maxTokens;
      return this;
    }

    /** Sets the time that training on one step takes, in ms. */
    @CanIgnoreReturnValue
    public Builder trainMs(int trainMs) {
      this.trainMs = trainMs;
      return this;
    }

    /** Sets the steps that are submitted ahead of the one awaited. */
    @CanIgnoreReturnValue
    public Builder horizon(int horizon) {
      this.horizon = horizon;
      return this;
    }

    /** Sets the greatest age of a sample, in versions. */
    @CanIgnoreReturnValue
    public Builder stalenessBound(long stalenessBound) {
      this.stalenessBound = stalenessBound;
      return this;
    }

    /** Sets the weight version at the start. */
    @CanIgnoreReturnValue
    public Builder firstVersion(long firstVersion) {
      this.firstVersion = firstVersion;
      return this;
    }

    /** Sets the time after which no further step is begun, in ms. */
    @CanIgnoreReturnValue
    public Builder timeLimitMs(long timeLimitMs) {
      this.timeLimitMs = timeLimitMs;
      return this;
    }

    /** Returns the options. */
    public TrainerOptions build() {
      return new TrainerOptions(
          daemons,
          token,
          trainer,
          workClass,
          model,
          weightStore,
          engines,
          steps,
          groups,
          samplesPerGroup,
          maxTokens,
          trainMs,
          horizon,
          stalenessBound,
          firstVersion,
          timeLimitMs);
    }
  }
}
