package org.amaranthstream.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.amaranthstream.ids.WorkClassId;

/**
 * The specification of a training step.
 *
 * <p>Slot {@code i} is sample {@code i % samplesPerGroup} of group {@code i / samplesPerGroup}.
 *
 * @param workClass the class of work, which sets the targets
 * @param groups the prompt groups
 * @param samplesPerGroup number of samples of each group
 * @param maxTokens greatest number of tokens of one sample
 * @param seed seed from which the seeds of the samples are derived
 */
public record StepSpec(
    WorkClassId workClass,
    ImmutableList<PromptGroup> groups,
    int samplesPerGroup,
    int maxTokens,
    long seed) {
  /** Greatest number of slots of a step. */
  public static final int MAX_SLOTS = 16_384;

  /** Greatest number of characters of the prompts of a step. */
  public static final int MAX_PROMPT_CHARS = 4 << 20;

  /**
   * Creates a specification.
   *
   * @throws IllegalArgumentException if there are no slots or more than {@link #MAX_SLOTS}, if the
   *     prompts have more than {@link #MAX_PROMPT_CHARS} characters, or if {@code maxTokens} is not
   *     positive
   */
  public StepSpec {
    checkNotNull(workClass, "workClass");
    checkArgument(!groups.isEmpty(), "step has no groups");
    checkArgument(samplesPerGroup > 0, "samplesPerGroup is not positive: %s", samplesPerGroup);
    checkArgument(maxTokens > 0, "maxTokens is not positive: %s", maxTokens);
    long slots = (long) groups.size() * samplesPerGroup;
    checkArgument(
        slots <= MAX_SLOTS, "step has %s slots, but at most %s are allowed", slots, MAX_SLOTS);
    long chars = groups.stream().mapToLong(group -> group.prompt().length()).sum();
    checkArgument(chars <= MAX_PROMPT_CHARS, "prompts have too many characters: %s", chars);
  }

  /** Returns the number of samples of the step. */
  public int slots() {
    return groups.size() * samplesPerGroup;
  }

  /** Returns the index of the group of {@code slot}. */
  public int groupOf(int slot) {
    checkArgument(slot >= 0 && slot < slots(), "slot is out of range: %s", slot);
    return slot / samplesPerGroup;
  }

  /** Returns the sampling seed of {@code slot}. */
  public long seedOf(int slot) {
    return Hashing.sipHash24(seed, 0).hashInt(slot).asLong();
  }

  /** Returns a digest of all components, which identifies the specification. */
  public SpecDigest digest() {
    Hasher hasher = Hashing.sha256().newHasher();
    putText(hasher, workClass.value());
    hasher.putInt(groups.size());
    for (PromptGroup group : groups) {
      putText(hasher, group.prompt());
    }
    hasher.putInt(samplesPerGroup).putInt(maxTokens).putLong(seed);
    return SpecDigest.of(hasher.hash().toString().substring(0, SpecDigest.LENGTH_CHARS));
  }

  private static void putText(Hasher hasher, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    hasher.putInt(bytes.length).putBytes(bytes);
  }
}
