package org.amaranthstream.standins.trainer;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** JSON body of the submission of a step. */
record StepBody(
    @JsonProperty("class") String workClass,
    List<Group> groups,
    int samplesPerGroup,
    int maxTokens,
    long seed) {

  /** Prompt for which a group of samples is generated. */
  record Group(String prompt) {}
}
