package org.amaranthstream.weights;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Test;

class EngineAssignmentTest {
  private static final List<ModelId> MODELS =
      List.of(ModelId.of("a"), ModelId.of("b"), ModelId.of("c"), ModelId.of("d"));

  private final ServerDirectory directory = ServerDirectory.create(VirtualTimerService.create());
  private final Map<ModelId, WeightVersion> newest = new LinkedHashMap<>();
  private EngineAssignment assignment = new EngineAssignment();

  private void addEngines(int from, int to) {
    ImmutableMap.Builder<ModelId, WeightVersion> versions = ImmutableMap.builder();
    MODELS.forEach(model -> versions.put(model, WeightVersion.of(1)));
    for (int i = from; i < to; i++) {
      directory.onRegistration(TestEngines.entry("s" + i, versions.buildOrThrow()));
    }
  }

  private void announce(int model, long version) {
    newest.put(MODELS.get(model), WeightVersion.of(version));
    assignment.update(directory.all(), newest);
  }

  private TrackedServer engine(String id) {
    return directory.all().stream().filter(e -> e.id().value().equals(id)).findFirst().get();
  }

  private long count(int model) {
    return directory.all().stream()
        .filter(engine -> assignment.modelOf(engine).equals(Optional.of(MODELS.get(model))))
        .count();
  }

  private Map<TrackedServer, Optional<ModelId>> assignments() {
    Map<TrackedServer, Optional<ModelId>> assignments = new LinkedHashMap<>();
    directory.all().forEach(engine -> assignments.put(engine, assignment.modelOf(engine)));
    return assignments;
  }

  @Test
  void assignsAllEnginesToTheOnlyTrainedModel() {
    addEngines(0, 8);
    announce(0, 2);

    assertThat(count(0)).isEqualTo(8);
  }

  @Test
  void assignsEvenlyOnceAllModelsAreTrained() {
    addEngines(0, 31);
    for (int model = 0; model < MODELS.size(); model++) {
      announce(model, 2);
    }

    for (int model = 0; model < MODELS.size(); model++) {
      assertThat(count(model)).isAtLeast(7);
    }
    assertThat(assignment.size()).isEqualTo(31);
  }

  @Test
  void isStableWhileVersionsAreAnnounced() {
    addEngines(0, 31);
    for (int model = 0; model < MODELS.size(); model++) {
      announce(model, 2);
    }
    final Map<TrackedServer, Optional<ModelId>> before = assignments();
    announce(2, 3);
    announce(0, 3);
    announce(0, 4);

    assertThat(assignments()).isEqualTo(before);
  }

  @Test
  void keepsAssignmentsWhenEnginesAreAddedAndRemoved() {
    addEngines(0, 16);
    for (int model = 0; model < MODELS.size(); model++) {
      announce(model, 2);
    }
    final Map<TrackedServer, Optional<ModelId>> before = assignments();
    directory.onIncarnationReplaced(engine("s3"));
    addEngines(20, 21);
    announce(1, 3);

    long moved =
        before.entrySet().stream()
            .filter(e -> e.getKey().isAvailable())
            .filter(e -> !assignment.modelOf(e.getKey()).equals(e.getValue()))
            .count();
    assertThat(moved).isEqualTo(0);
    assertThat(assignment.size()).isEqualTo(16);
  }

  /** A new leader has no state besides the versions that the engines report. */
  @Test
  void isRestoredFromTheVersionsThatEnginesReport() {
    addEngines(0, 12);
    for (int model = 0; model < MODELS.size(); model++) {
      announce(model, 2);
    }
    directory
        .all()
        .forEach(e -> e.onVersion(assignment.modelOf(e).orElseThrow(), WeightVersion.of(2)));
    final Map<TrackedServer, Optional<ModelId>> before = assignments();
    assignment = new EngineAssignment();
    assignment.update(directory.all(), newest);

    assertThat(assignments()).isEqualTo(before);
  }
}
