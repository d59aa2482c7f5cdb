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

/** Request body for the submission of a training step. */
record StepBody(
    @JsonProperty("class") @Nullable String className,
    @Nullable List<GroupBody> groups,
    int samplesPerGroup,
    int maxTokens,
    long seed) {

  /** One group of the step. */
  record GroupBody(@Nullable String prompt) {}

  /** Converts the body to a specification, or to an {@code INVALID_REQUEST} error. */
  Result<StepSpec> toSpec() {
    if (className == null || groups == null) {
      return Result.failure(
          ResultCode.INVALID_REQUEST, "the body has no class or no groups, expected both");
    }
    try {
      ImmutableList<PromptGroup> prompts =
          groups.stream()
              .map(group -> PromptGroup.of(group.prompt()))
              .collect(ImmutableList.toImmutableList());
      return Result.success(
          new StepSpec(WorkClassId.of(className), prompts, samplesPerGroup, maxTokens, seed));
    } catch (IllegalArgumentException | NullPointerException e) {
      return Result.failure(ResultCode.INVALID_REQUEST, "the body is invalid: " + e.getMessage());
    }
  }
}
