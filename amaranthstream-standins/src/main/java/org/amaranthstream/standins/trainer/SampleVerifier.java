package org.amaranthstream.standins.trainer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.amaranthstream.standins.engine.GeneratedText;
import org.amaranthstream.standins.trainer.PullPage.Sample;

/**
 * Counts duplicate, missing, corrupt, stale and repeated samples of all steps, as the trainer
 * receives them. Not thread safe.
 */
final class SampleVerifier {
  private final int maxTokens;
  private final long stalenessBound;
  private final List<Sample> kept = new ArrayList<>();
  private final List<Long> staleness = new ArrayList<>();
  private Set<Integer> slotsOfStep = new HashSet<>();
  private Set<String> keysOfStep = new HashSet<>();
  private long duplicates;
  private long missing;
  private long corrupt;
  private long tooOld;
  private long sameText;

  SampleVerifier(int maxTokens, long stalenessBound) {
    this.maxTokens = maxTokens;
    this.stalenessBound = stalenessBound;
  }

  /** Starts the verification of the next step. */
  void startStep() {
    slotsOfStep = new HashSet<>();
    keysOfStep = new HashSet<>();
  }

  /** Verifies a sample of the current step; keeps it unless it is a duplicate. */
  void add(Sample sample, long trainerVersion) {
    if (!slotsOfStep.add(sample.slot())) {
      duplicates++;
      return;
    }
    kept.add(sample);
    long versionsBehind = trainerVersion - sample.oldestVersion();
    staleness.add(versionsBehind);
    tooOld += versionsBehind > stalenessBound ? 1 : 0;
    sameText += keysOfStep.add(GeneratedText.keyOf(sample.text())) ? 0 : 1;
    corrupt += isComplete(sample) ? 0 : 1;
  }

  /** Ends the current step and counts those of its {@code slots} slots that were not delivered. */
  void endStep(int slots) {
    missing += slots - slotsOfStep.size();
  }

  private boolean isComplete(Sample sample) {
    long segmentTokens = sample.segments().stream().mapToLong(PullPage.Segment::tokens).sum();
    return segmentTokens == sample.tokens()
        && GeneratedText.isComplete(sample.text(), sample.tokens(), maxTokens);
  }

  /** Returns the samples without duplicates, in order of arrival. */
  List<Sample> kept() {
    return kept;
  }

  /** Returns the staleness of each kept sample in weight versions, in ascending order. */
  List<Long> sortedStaleness() {
    List<Long> sorted = new ArrayList<>(staleness);
    Collections.sort(sorted);
    return sorted;
  }

  long duplicates() {
    return duplicates;
  }

  long missing() {
    return missing;
  }

  long corrupt() {
    return corrupt;
  }

  long tooOld() {
    return tooOld;
  }

  long sameText() {
    return sameText;
  }
}
