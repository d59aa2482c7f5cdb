package org.amaranthstream.config;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableMap;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.LinkedHashMap;
import java.util.Map;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.WorkClassId;

/**
 * The operators' configuration: one immutable document with a generation.
 *
 * <p>Immutable and thread safe.
 *
 * @param generation the document's generation; generation 0 is the empty document
 * @param classes the classes of work by name
 * @param pools the pools by name
 */
public record OperatorConfig(
    ConfigGeneration generation,
    ImmutableMap<WorkClassId, WorkClass> classes,
    ImmutableMap<PoolId, Pool> pools) {
  private static final OperatorConfig EMPTY =
      new OperatorConfig(ConfigGeneration.of(0), ImmutableMap.of(), ImmutableMap.of());

  /** Returns the empty document of generation 0. */
  public static OperatorConfig empty() {
    return EMPTY;
  }

  /** Returns a builder of the document of {@code generation}. */
  public static Builder builder(ConfigGeneration generation) {
    return new Builder(generation);
  }

  /** A builder of {@link OperatorConfig}. Not thread safe. */
  public static final class Builder {
    private final ConfigGeneration generation;
    private final Map<WorkClassId, WorkClass> classes = new LinkedHashMap<>();
    private final Map<PoolId, Pool> pools = new LinkedHashMap<>();

    private Builder(ConfigGeneration generation) {
      this.generation = generation;
    }

    /**
     * Adds a pool.
     *
     * @throws IllegalStateException if there is already a pool with this name
     */
    @CanIgnoreReturnValue
    public Builder add(Pool pool) {
      checkState(pools.put(pool.id(), pool) == null, "duplicate pool %s", pool.id());
      return this;
    }

    /**
     * Adds a class.
     *
     * @throws IllegalStateException if its pool has not been added, or if there is already a class
     *     with this name
     */
    @CanIgnoreReturnValue
    public Builder add(WorkClass workClass) {
      checkState(pools.containsKey(workClass.pool()), "unknown pool %s", workClass.pool());
      WorkClass previous = classes.put(workClass.id(), workClass);
      checkState(previous == null, "duplicate class %s", workClass.id());
      return this;
    }

    /** Returns the configuration. */
    public OperatorConfig build() {
      return new OperatorConfig(
          generation, ImmutableMap.copyOf(classes), ImmutableMap.copyOf(pools));
    }
  }
}
