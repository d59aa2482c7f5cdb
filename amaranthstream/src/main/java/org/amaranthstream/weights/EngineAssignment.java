package org.amaranthstream.weights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.servers.TrackedServer;

/**
 * Assignment of engines to the models that are trained. Each engine loads the versions of one model
 * only.
 *
 * <p>Several trainers share the engines: no engine can load every version of every model in time,
 * and an engine whose version of a model is too old serves none of that model's steps. An engine
 * keeps its model as long as no model has more than its equal share; a reassigned engine goes to
 * the model of which it is the fewest versions behind. Not thread safe.
 */
final class EngineAssignment {
  private final Map<TrackedServer, ModelId> modelByEngine = new LinkedHashMap<>();

  /** Assigns {@code engines} to the models of {@code newest}, in equal shares. */
  void update(Collection<TrackedServer> engines, Map<ModelId, WeightVersion> newest) {
    List<TrackedServer> available =
        engines.stream()
            .filter(engine -> engine.isAvailable() && !trainedModels(engine, newest).isEmpty())
            .sorted(Comparator.comparing(TrackedServer::id))
            .toList();
    modelByEngine.keySet().retainAll(available);
    if (available.isEmpty()) {
      return;
    }
    int maxPerModel = (available.size() + newest.size() - 1) / newest.size();
    newest.keySet().forEach(model -> unassignExcess(model, maxPerModel, newest));
    for (TrackedServer engine : available) {
      if (!modelByEngine.containsKey(engine)) {
        assign(engine, maxPerModel, newest);
      }
    }
  }

  /** Returns the model whose versions {@code engine} loads, empty if the engine is not assigned. */
  Optional<ModelId> modelOf(TrackedServer engine) {
    return Optional.ofNullable(modelByEngine.get(engine));
  }

  /** Returns the number of assigned engines. */
  int size() {
    return modelByEngine.size();
  }

  private static List<ModelId> trainedModels(
      TrackedServer engine, Map<ModelId, WeightVersion> newest) {
    return newest.keySet().stream().filter(engine::holds).sorted().toList();
  }

  /**
   * Unassigns the engines above {@code maxPerModel}, those that are the most versions behind first.
   */
  private void unassignExcess(ModelId model, int maxPerModel, Map<ModelId, WeightVersion> newest) {
    List<TrackedServer> assigned = new ArrayList<>();
    modelByEngine.forEach(
        (engine, assignedModel) -> {
          if (assignedModel.equals(model)) {
            assigned.add(engine);
          }
        });
    assigned.sort(Comparator.comparingLong(engine -> versionsBehind(engine, model, newest)));
    assigned.stream().skip(maxPerModel).forEach(modelByEngine::remove);
  }

  private void assign(TrackedServer engine, int maxPerModel, Map<ModelId, WeightVersion> newest) {
    Comparator<ModelId> order =
        Comparator.comparing((ModelId model) -> count(model) >= maxPerModel)
            .thenComparingLong(model -> versionsBehind(engine, model, newest))
            .thenComparingLong(this::count);
    trainedModels(engine, newest).stream()
        .min(order)
        .ifPresent(model -> modelByEngine.put(engine, model));
  }

  private long count(ModelId model) {
    return modelByEngine.values().stream().filter(model::equals).count();
  }

  /**
   * Returns the number of versions that {@code engine} is behind the newest version of {@code
   * model}.
   */
  static long versionsBehind(
      TrackedServer engine, ModelId model, Map<ModelId, WeightVersion> newest) {
    long loaded = engine.version(model).map(WeightVersion::value).orElse(0L);
    return Math.max(0, newest.get(model).value() - loaded);
  }
}
