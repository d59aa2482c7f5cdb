package org.amaranthstream.config;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.yaml.MappingNode;

/** Parser of the top-level mapping of a configuration into an {@link OperatorConfig}. */
final class ConfigReader {
  private static final int MAX_NAMES = 1_000;
  private static final int MAX_STALENESS_VERSIONS = 1_000;
  private static final int MAX_TOKENS = 1_000_000;
  private static final Duration MIN_ANSWER_DEADLINE = Duration.ofMillis(1);
  private static final Duration MAX_ANSWER_DEADLINE = Duration.ofMinutes(30);
  private static final Duration MIN_STEP_DEADLINE = Duration.ofMillis(100);
  private static final Duration MAX_STEP_DEADLINE = Duration.ofHours(24);
  private static final String EXPECTED_NAME =
      "a name of 1 to 128 characters of A-Z a-z 0-9 . _ : -";

  private final ConfigGeneration generation;

  ConfigReader(ConfigGeneration generation) {
    this.generation = generation;
  }

  OperatorConfig read(MappingNode root) {
    ImmutableMap<PoolId, Pool> pools =
        readAll(root, "pools", PoolId::of, (id, node) -> pool(id, node));
    ImmutableMap<WorkClassId, WorkClass> classes =
        readAll(root, "classes", WorkClassId::of, (id, node) -> workClass(id, node, pools));
    root.finish();
    return new OperatorConfig(generation, classes, pools);
  }

  private interface EntryReader<K, V> {
    V read(K id, MappingNode node);
  }

  private static <K, V> ImmutableMap<K, V> readAll(
      MappingNode root, String key, Function<String, K> toId, EntryReader<K, V> reader) {
    ImmutableMap.Builder<K, V> values = ImmutableMap.builder();
    Optional<MappingNode> parent = root.optionalMapping(key);
    if (parent.isEmpty()) {
      return values.buildOrThrow();
    }
    ImmutableMap<String, MappingNode> named = parent.get().mappingsByName();
    if (named.size() > MAX_NAMES) {
      throw root.problem(key, named.size() + " names", "at most " + MAX_NAMES);
    }
    for (Map.Entry<String, MappingNode> entry : named.entrySet()) {
      K id = id(parent.get(), entry.getKey(), toId);
      values.put(id, reader.read(id, entry.getValue()));
      entry.getValue().finish();
    }
    return values.buildOrThrow();
  }

  private static <K> K id(MappingNode parent, String name, Function<String, K> toId) {
    try {
      return toId.apply(name);
    } catch (IllegalArgumentException e) {
      throw parent.problem(name, "an invalid key", EXPECTED_NAME);
    }
  }

  private static Pool pool(PoolId id, MappingNode node) {
    PoolKind kind = node.choice("kind", PoolKind.class);
    boolean isEngine = kind == PoolKind.MODEL_ENGINE;
    rejectUnless(isEngine, node, "model", "this key only in a pool of kind MODEL_ENGINE");
    rejectUnless(isEngine, node, "checksFencing", "this key only in a pool of kind MODEL_ENGINE");
    Optional<ModelId> model =
        isEngine ? Optional.of(node.parsed("model", ModelId::of, EXPECTED_NAME)) : Optional.empty();
    return new Pool(id, kind, model, node.flag("checksFencing", false));
  }

  private static WorkClass workClass(
      WorkClassId id, MappingNode node, ImmutableMap<PoolId, Pool> pools) {
    ClassKind kind = node.choice("kind", ClassKind.class);
    Pool pool = poolOf(node, pools);
    boolean isTraining = kind == ClassKind.TRAINING;
    if (isTraining && pool.kind() != PoolKind.MODEL_ENGINE) {
      throw node.problem("pool", "a pool of kind MODEL_ENGINE for training");
    }
    WorkClass.Builder builder = WorkClass.builder(id, kind, pool.id(), deadline(node, isTraining));
    builder.idempotent(idempotent(node, isTraining));
    readModelTargets(node, pool.kind() == PoolKind.MODEL_ENGINE, builder);
    rejectUnless(isTraining, node, "weighsMore", "this key only in a class of kind TRAINING");
    if (isTraining) {
      builder.weighsMore(node.choice("weighsMore", PriorityTarget.class));
    }
    return builder.build();
  }

  private static Pool poolOf(MappingNode node, ImmutableMap<PoolId, Pool> pools) {
    PoolId id = node.parsed("pool", PoolId::of, EXPECTED_NAME);
    Pool pool = pools.get(id);
    if (pool == null) {
      throw node.problem("pool", "one of the pools: " + Joiner.on(", ").join(pools.keySet()));
    }
    return pool;
  }

  private static Duration deadline(MappingNode node, boolean isTraining) {
    rejectUnless(isTraining, node, "stepDeadline", "this key only in a class of kind TRAINING");
    rejectUnless(
        !isTraining, node, "answerDeadline", "this key only in a class of kind INTERACTIVE");
    return isTraining
        ? node.duration("stepDeadline", MIN_STEP_DEADLINE, MAX_STEP_DEADLINE)
        : node.duration("answerDeadline", MIN_ANSWER_DEADLINE, MAX_ANSWER_DEADLINE);
  }

  private static boolean idempotent(MappingNode node, boolean isTraining) {
    boolean idempotent = node.flag("idempotent", isTraining);
    if (isTraining && !idempotent) {
      throw node.problem("idempotent", "true, because samples are regenerated after a failure");
    }
    return idempotent;
  }

  private static void readModelTargets(
      MappingNode node, boolean isEngine, WorkClass.Builder builder) {
    String expected = "this key only with a pool of kind MODEL_ENGINE";
    rejectUnless(isEngine, node, "stalenessBound", expected);
    rejectUnless(isEngine, node, "maxTokens", expected);
    if (isEngine) {
      builder.stalenessBound(node.integer("stalenessBound", 0, MAX_STALENESS_VERSIONS));
      builder.maxTokens(node.integer("maxTokens", 1, MAX_TOKENS));
    }
  }

  private static void rejectUnless(boolean allowed, MappingNode node, String key, String expected) {
    if (!allowed && node.has(key)) {
      throw node.problem(key, expected);
    }
  }
}
