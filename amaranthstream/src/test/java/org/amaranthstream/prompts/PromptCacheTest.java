package org.amaranthstream.prompts;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.PromptPartId;
import org.amaranthstream.ids.WeightVersion;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PromptCacheTest {
  private static final ModelId MODEL = ModelId.of("m");
  private static final long MEMORY_TOKENS = 1_000;
  private static final Prompt FIRST = prompt("a", 300, "a1", 20);
  private static final Prompt SIBLING = prompt("a", 300, "a2", 20);
  private static final Prompt OTHER = prompt("b", 300, "b1", 20);

  private final PromptCache cache = new PromptCache(MEMORY_TOKENS);

  private static Prompt prompt(String shared, long sharedTokens, String own, long ownTokens) {
    return new Prompt(
        MODEL,
        ImmutableList.of(
            new PromptPart(PromptPartId.of(shared), sharedTokens),
            new PromptPart(PromptPartId.of(own), ownTokens)),
        0);
  }

  private static Prompt withOutput(Prompt prompt, long outputTokens) {
    return new Prompt(prompt.model(), prompt.parts(), outputTokens);
  }

  private long held(Prompt prompt) {
    return cache.heldTokens(prompt);
  }

  @Nested
  class Sharing {
    @Test
    void holdsNothingAtFirst() {
      assertThat(held(FIRST)).isEqualTo(0);
    }

    @Test
    void holdsTheSharedBeginning() {
      cache.onStarted(FIRST);

      assertThat(held(SIBLING)).isEqualTo(300);
      assertThat(held(OTHER)).isEqualTo(0);
    }

    @Test
    void doesNotShareBetweenModels() {
      cache.onStarted(FIRST);

      assertThat(held(new Prompt(ModelId.of("n"), SIBLING.parts(), 0))).isEqualTo(0);
    }

    @Test
    void laterPartsCountOnlyAfterAllPartsBeforeThem() {
      cache.onStarted(FIRST);

      assertThat(held(prompt("c", 300, "a1", 20))).isEqualTo(0);
    }
  }

  @Nested
  class Memory {
    @Test
    void discardsLeastRecentlyUsedPartsFirst() {
      cache.onStarted(FIRST);
      cache.onStarted(OTHER);
      cache.onStarted(SIBLING);
      cache.onStarted(prompt("c", 400, "c1", 20));

      assertThat(held(OTHER)).isEqualTo(0);
      assertThat(held(SIBLING)).isEqualTo(320);
    }

    @Test
    void runningRequestsLeaveLessMemory() {
      cache.onStarted(FIRST);
      cache.onStarted(withOutput(OTHER, MEMORY_TOKENS - 400));

      assertThat(held(FIRST)).isEqualTo(0);
      assertThat(held(OTHER)).isEqualTo(320);
    }

    @Test
    void endedRequestsReturnTheirMemory() {
      PromptCache.Run run = cache.onStarted(withOutput(FIRST, MEMORY_TOKENS - 400));
      cache.onEnded(run, true);
      cache.onStarted(OTHER);

      assertThat(cache.runningTokens()).isEqualTo(0);
      assertThat(held(FIRST)).isEqualTo(320);
    }
  }

  @Nested
  class Discarding {
    @Test
    void newWeightsDiscardTheModelsParts() {
      cache.onVersion(MODEL, Optional.of(WeightVersion.of(1)));
      cache.onStarted(FIRST);
      cache.onVersion(MODEL, Optional.of(WeightVersion.of(2)));

      assertThat(held(FIRST)).isEqualTo(0);
    }

    @Test
    void sameWeightsKeepTheParts() {
      cache.onVersion(MODEL, Optional.of(WeightVersion.of(1)));
      cache.onStarted(FIRST);
      cache.onVersion(MODEL, Optional.of(WeightVersion.of(1)));

      assertThat(held(FIRST)).isEqualTo(320);
    }

    @Test
    void rejectedRequestLeavesNothing() {
      cache.onEnded(cache.onStarted(withOutput(FIRST, 50)), false);

      assertThat(held(SIBLING)).isEqualTo(0);
      assertThat(cache.runningTokens()).isEqualTo(0);
    }

    @Test
    void rejectedRequestLeavesPartsThatLaterRequestsUse() {
      PromptCache.Run rejected = cache.onStarted(FIRST);
      cache.onStarted(SIBLING);
      cache.onEnded(rejected, false);

      assertThat(held(SIBLING)).isEqualTo(320);
    }
  }
}
