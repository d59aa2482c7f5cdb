package org.amaranthstream.rollout;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthstream.ids.StepId;
import org.amaranthstream.ids.WeightVersion;

/** A fake trainer of one step that stores its samples and checks each page against them. */
final class FakeTrainer {
  private final StepId step;
  private final StepSpec spec;
  private final int stalenessBound;
  private State state = new State("", 0, 0, Map.of());
  private State checkpoint = state;
  private long versionAtPull;
  private boolean done;

  FakeTrainer(StepId step, StepSpec spec, int stalenessBound) {
    this.step = step;
    this.spec = spec;
    this.stalenessBound = stalenessBound;
  }

  void onAccepted(StepAccepted accepted) {
    assertThat(accepted.slots()).isEqualTo(spec.slots());
    if (state.token.isEmpty()) {
      state = new State(accepted.token(), state.pull, state.version, state.stored);
      checkpoint = state;
    }
  }

  PullRequest nextPull(int max, Duration maxWait) {
    state = new State(state.token, state.pull + 1, state.version, state.stored);
    versionAtPull = state.version;
    return new PullRequest(
        step, state.token, state.pull, WeightVersion.of(state.version), max, maxWait);
  }

  /** Checks and stores the samples of a page, unless the page is for an earlier pull. */
  void onPage(Page page) {
    if (page.pull() != state.pull) {
      return;
    }
    Map<Integer, Sample> stored = new HashMap<>(state.stored);
    for (Sample sample : page.samples()) {
      check(sample);
      assertWithMessage("duplicate slot").that(stored.put(sample.slot(), sample)).isNull();
    }
    assertWithMessage("remaining").that(page.remaining()).isEqualTo(spec.slots() - stored.size());
    state = new State(page.token(), state.pull, state.version, stored);
    done = page.done();
  }

  private void check(Sample sample) {
    List<Long> labels = new ArrayList<>();
    for (Segment segment : sample.segments()) {
      for (int i = 0; i < segment.tokens(); i++) {
        labels.add(segment.version().value());
      }
    }
    StringBuilder expected = new StringBuilder();
    labels.forEach(label -> expected.append(label).append(','));
    expected.append(FakeEngines.END);
    assertWithMessage("text with the versions that generated it, and its end")
        .that(sample.text())
        .isEqualTo(expected.toString());
    long staleness = versionAtPull - labels.stream().mapToLong(v -> v).min().orElseThrow();
    assertWithMessage("staleness").that(staleness).isAtMost(stalenessBound);
  }

  /** Advances the trainer's weight version by one. */
  void train() {
    state = new State(state.token, state.pull, state.version + 1, state.stored);
  }

  void saveCheckpoint() {
    checkpoint = state;
  }

  void restartFromCheckpoint() {
    state = checkpoint;
    done = false;
  }

  String token() {
    return state.token;
  }

  long version() {
    return state.version;
  }

  boolean isDone() {
    return done;
  }

  ImmutableList<Integer> storedSlots() {
    return state.stored.keySet().stream().sorted().collect(ImmutableList.toImmutableList());
  }

  private record State(String token, long pull, long version, Map<Integer, Sample> stored) {}
}
