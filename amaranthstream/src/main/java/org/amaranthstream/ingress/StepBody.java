package org.amaranthstream.ingress;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.google.common.collect.ImmutableList;
import java.util.List;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.rollout.PromptGroup;
import org.amaranthstream.rollout.StepSpec;
import org.jspecify.annotations.Nullable;

/** Body of the submission of a training step. */
record StepBody(
    @JsonProperty("class") @Nullable String className,
    @Nullable List<GroupBody> groups,
    int samplesPerGroup,
    int maxTokens,
    long seed) {

  /** One group of the step. */
  record GroupBody(@Nullable String prompt) {}

  /** Returns the specification that the body states, or an {@code INVALID_REQUEST} error. */
  Result<StepSpec> toSpec() {
    if (className == null || groups == null) {
      return Result.failure(
          ResultCode.INVALID_REQUEST, "body lacks class or groups, expected both");
    }
    try {
      ImmutableList<PromptGroup> prompts =
          groups.stream()
              .map(group -> PromptGroup.of(group.prompt()))
              .collect(ImmutableList.toImmutableList());
      return Result.success(
          new StepSpec(WorkClassId.of(className), prompts, samplesPerGroup, maxTokens, seed));
    } catch (IllegalArgumentException | NullPointerException e) {
      return Result.failure(ResultCode.INVALID_REQUEST, "body: " + e.getMessage());
    }
  }
}
