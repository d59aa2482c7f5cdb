package org.amaranthstream.standins.trainer;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.List;
import java.util.Optional;

/**
 * Configuration of a trainer.
 *
 * @param daemons base URLs of daemons, tried in order after failures
 * @param token bearer token of the trainer
 * @param trainer name of the trainer
 * @param workClass work class of the samples
 * @param model name of the model to train
 * @param weightStore base URL of the weight store
 * @param engines base URLs of engines whose ledgers verify the versions of the samples
 * @param steps number of steps
 * @param groups number of groups in a step
 * @param samplesPerGroup number of samples in a group
 * @param maxTokens maximum number of tokens in a sample
 * @param trainMs training time of one step, in ms
 * @param horizon number of steps submitted ahead of the current one
 * @param stalenessBound maximum staleness of a sample, in weight versions
 * @param firstVersion initial weight version
 * @param timeLimitMs time after which no further step starts, in ms
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

  /** Returns a new builder. All options but the daemons have defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the number of samples in a step. */
  int slots() {
    return groups * samplesPerGroup;
  }

  /** Builder of trainer options. Not thread safe. */
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

    /** Sets the base URLs of daemons, tried in order after failures. */
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

    /** Sets the work class of the samples. */
    @CanIgnoreReturnValue
    public Builder workClass(String workClass) {
      this.workClass = workClass;
      return this;
    }

    /** Sets the name of the model to train. */
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

    /** Sets the base URLs of engines whose ledgers verify the versions of the samples. */
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

    /** Sets the number of groups in a step. */
    @CanIgnoreReturnValue
    public Builder groups(int groups) {
      this.groups = groups;
      return this;
    }

    /** Sets the number of samples in a group. */
    @CanIgnoreReturnValue
    public Builder samplesPerGroup(int samplesPerGroup) {
      this.samplesPerGroup = samplesPerGroup;
      return this;
    }

    /** Sets the maximum number of tokens in a sample. */
    @CanIgnoreReturnValue
    public Builder maxTokens(int maxTokens) {
      this.maxTokens = maxTokens;
      return this;
    }

    /** Sets the training time of one step, in ms. */
    @CanIgnoreReturnValue
    public Builder trainMs(int trainMs) {
      this.trainMs = trainMs;
      return this;
    }

    /** Sets the number of steps submitted ahead of the current one. */
    @CanIgnoreReturnValue
    public Builder horizon(int horizon) {
      this.horizon = horizon;
      return this;
    }

    /** Sets the maximum staleness of a sample, in weight versions. */
    @CanIgnoreReturnValue
    public Builder stalenessBound(long stalenessBound) {
      this.stalenessBound = stalenessBound;
      return this;
    }

    /** Sets the initial weight version. */
    @CanIgnoreReturnValue
    public Builder firstVersion(long firstVersion) {
      this.firstVersion = firstVersion;
      return this;
    }

    /** Sets the time after which no further step starts, in ms. */
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
