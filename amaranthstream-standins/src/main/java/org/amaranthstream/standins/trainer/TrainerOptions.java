package org.amaranthstream.standins.trainer;

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

  int slots() {
    return groups * samplesPerGroup;
  }
}
