package org.amaranthstream.standins.trainer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.amaranthstream.standins.engine.GeneratedText;
import org.amaranthstream.standins.trainer.PullPage.Sample;

/** Judges the samples of all steps at the far end. One thread. */
final class SampleCheck {
  private final int maxTokens;
  private final long stalenessBound;
  private final List<Sample> kept = new ArrayList<>();
  private final List<Long> staleness = new ArrayList<>();
  private Set<Integer> slotsOfStep = new HashSet<>();
  private Set<String> keysOfStep = new HashSet<>();
  private long doubled;
  private long lost;
  private long broken;
  private long tooOld;
  private long sameText;

  SampleCheck(int maxTokens, long stalenessBound) {
    this.maxTokens = maxTokens;
    this.stalenessBound = stalenessBound;
  }

  void startStep() {
    slotsOfStep = new HashSet<>();
    keysOfStep = new HashSet<>();
  }

  void add(Sample sample, long trainerVersion) {
    if (!slotsOfStep.add(sample.slot())) {
      doubled++;
      return;
    }
    kept.add(sample);
    long age = trainerVersion - sample.oldestVersion();
    staleness.add(age);
    tooOld += age > stalenessBound ? 1 : 0;
    sameText += keysOfStep.add(GeneratedText.keyOf(sample.text())) ? 0 : 1;
    broken += isWhole(sample) ? 0 : 1;
  }

  void endStep(int slots) {
    lost += slots - slotsOfStep.size();
  }

  private boolean isWhole(Sample sample) {
    long labelled = sample.segments().stream().mapToLong(PullPage.Segment::tokens).sum();
    return labelled == sample.tokens()
        && GeneratedText.isComplete(sample.text(), sample.tokens(), maxTokens);
  }

  List<Sample> kept() {
    return kept;
  }

  List<Long> sortedStaleness() {
    List<Long> sorted = new ArrayList<>(staleness);
    Collections.sort(sorted);
    return sorted;
  }

  long doubled() {
    return doubled;
  }

  long lost() {
    return lost;
  }

  long broken() {
    return broken;
  }

  long tooOld() {
    return tooOld;
  }

  long sameText() {
    return sameText;
  }
}
