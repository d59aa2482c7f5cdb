package org.amaranthstream.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.amaranthstream.ids.AffinityKey;

/**
 * A group of samples that share a prompt.
 *
 * @param prompt the text to continue
 */
public record PromptGroup(String prompt) {
  private static final int AFFINITY_CHARS = 32;

  /**
   * Creates a group.
   *
   * @throws IllegalArgumentException if the prompt is empty
   */
  public PromptGroup {
    checkNotNull(prompt, "prompt");
    checkArgument(!prompt.isEmpty(), "prompt is empty");
  }

  /** Returns the group of {@code prompt}. */
  public static PromptGroup of(String prompt) {
    return new PromptGroup(prompt);
  }

  /** Returns the affinity key that the samples of this group share, a digest of the prompt. */
  public AffinityKey affinity() {
    String digest = Hashing.sha256().hashString(prompt, StandardCharsets.UTF_8).toString();
    return AffinityKey.of(digest.substring(0, AFFINITY_CHARS));
  }
}
