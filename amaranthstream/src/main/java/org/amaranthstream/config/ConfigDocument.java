package org.amaranthstream.config;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.ids.ConfigGeneration;

/**
 * The stored form of the configuration: generation, YAML and recent changes.
 *
 * <p>Immutable and thread safe.
 *
 * @param generation the generation
 * @param yaml the configuration
 * @param history the latest changes, newest first, at most 50
 */
record ConfigDocument(
    ConfigGeneration generation, String yaml, ImmutableList<ConfigChange> history) {
  private static final int MAX_HISTORY_CHANGES = 50;
  private static final ConfigDocument EMPTY =
      new ConfigDocument(ConfigGeneration.of(0), "", ImmutableList.of());

  ConfigDocument {
    checkNotNull(generation, "generation");
    checkNotNull(yaml, "yaml");
    checkNotNull(history, "history");
  }

  /** Returns the empty document of generation 0, which is active until another one is applied. */
  static ConfigDocument empty() {
    return EMPTY;
  }

  /** Returns the document that results from applying {@code change} to this one. */
  ConfigDocument withChange(ConfigChange change, String newYaml) {
    ImmutableList<ConfigChange> newHistory =
        ImmutableList.<ConfigChange>builder()
            .add(change)
            .addAll(history.subList(0, Math.min(history.size(), MAX_HISTORY_CHANGES - 1)))
            .build();
    return new ConfigDocument(change.generation(), newYaml, newHistory);
  }

  /** Returns true if the history contains the change with {@code nonce}. */
  boolean contains(String nonce) {
    return history.stream().anyMatch(change -> change.nonce().equals(nonce));
  }

  /**
   * Returns true if the history reaches back to {@code generation}, so that it contains the change
   * that created this generation, if there was one.
   */
  boolean historyCovers(ConfigGeneration generation) {
    return history.size() < MAX_HISTORY_CHANGES
        || !history.get(history.size() - 1).generation().isAfter(generation);
  }
}
