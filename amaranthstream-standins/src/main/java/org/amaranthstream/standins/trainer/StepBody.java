package org.amaranthstream.standins.trainer;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** Body of the submission of a step. */
record StepBody(
    @JsonProperty("class") String workClass,
    List<Group> groups,
    int samplesPerGroup,
    int maxTokens,
    long seed) {

  /** A prompt whose samples form a group. */
  record Group(String prompt) {}
}
