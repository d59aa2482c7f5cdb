package org.amaranthstream.config;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.ids.ConfigGeneration;

/**
 * The configuration as it is kept: its generation, its YAML and its latest changes.
 *
 * @param generation the generation
 * @param yaml the configuration
 * @param history the latest changes, the newest first
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

  /** Returns the document that is in force before any other. */
  static ConfigDocument empty() {
    return EMPTY;
  }

  /** Returns the document that {@code change} makes of this one. */
  ConfigDocument changed(ConfigChange change, String newYaml) {
    ImmutableList<ConfigChange> newHistory =
        ImmutableList.<ConfigChange>builder()
            .add(change)
            .addAll(history.subList(0, Math.min(history.size(), MAX_HISTORY_CHANGES - 1)))
            .build();
    return new ConfigDocument(change.generation(), newYaml, newHistory);
  }

  /** Returns true if this document contains the change of {@code nonce}. */
  boolean contains(String nonce) {
    return history.stream().anyMatch(change -> change.nonce().equals(nonce));
  }

  /** Returns true if the change that made {@code generation} would still be in the history. */
  boolean remembers(ConfigGeneration generation) {
    return history.size() < MAX_HISTORY_CHANGES
        || !history.get(history.size() - 1).generation().isAfter(generation);
  }
}
