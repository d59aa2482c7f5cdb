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
 * Divides the engines among the models that are trained, so that each engine loads the versions of
 * one model only.
 *
 * <p>Answers the load pattern of several trainers that share the engines: no engine can load every
 * version of every model in time, and an engine that is behind with a model serves none of its
 * steps. An engine stays with its model as long as the models' shares stay even; engines that are
 * divided anew go to the model with which they are the least behind. Not thread safe.
 */
final class EngineShares {
  private final Map<TrackedServer, ModelId> shares = new LinkedHashMap<>();

  /** Divides {@code engines} among the models of {@code newest}. */
  void update(Collection<TrackedServer> engines, Map<ModelId, WeightVersion> newest) {
    List<TrackedServer> open =
        engines.stream()
            .filter(engine -> engine.isAvailable() && !models(engine, newest).isEmpty())
            .sorted(Comparator.comparing(TrackedServer::id))
            .toList();
    shares.keySet().retainAll(open);
    if (open.isEmpty()) {
      return;
    }
    int most = (open.size() + newest.size() - 1) / newest.size();
    newest.keySet().forEach(model -> release(model, most, newest));
    for (TrackedServer engine : open) {
      if (!shares.containsKey(engine)) {
        assign(engine, most, newest);
      }
    }
  }

  /** Returns the model whose versions {@code engine} loads, empty if there is none. */
  Optional<ModelId> modelOf(TrackedServer engine) {
    return Optional.ofNullable(shares.get(engine));
  }

  /** Returns the number of engines that are divided. */
  int size() {
    return shares.size();
  }

  private static List<ModelId> models(TrackedServer engine, Map<ModelId, WeightVersion> newest) {
    return newest.keySet().stream().filter(engine::holds).sorted().toList();
  }

  /** Takes engines away from a model that has more than its share, the least fresh first. */
  private void release(ModelId model, int most, Map<ModelId, WeightVersion> newest) {
    List<TrackedServer> held = new ArrayList<>();
    shares.forEach(
        (engine, share) -> {
          if (share.equals(model)) {
            held.add(engine);
          }
        });
    held.sort(Comparator.comparingLong(engine -> lag(engine, model, newest)));
    held.stream().skip(most).forEach(shares::remove);
  }

  private void assign(TrackedServer engine, int most, Map<ModelId, WeightVersion> newest) {
    Comparator<ModelId> order =
        Comparator.comparing((ModelId model) -> count(model) >= most)
            .thenComparingLong(model -> lag(engine, model, newest))
            .thenComparingLong(this::count);
    models(engine, newest).stream().min(order).ifPresent(model -> shares.put(engine, model));
  }

  private long count(ModelId model) {
    return shares.values().stream().filter(model::equals).count();
  }

  /** Returns the number of versions by which {@code engine} is behind. */
  static long lag(TrackedServer engine, ModelId model, Map<ModelId, WeightVersion> newest) {
    long held = engine.version(model).map(WeightVersion::value).orElse(0L);
    return Math.max(0, newest.get(model).value() - held);
  }
}
