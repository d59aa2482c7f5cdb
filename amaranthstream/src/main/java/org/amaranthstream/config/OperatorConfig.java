package org.amaranthstream.config;

import com.google.common.collect.ImmutableMap;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.WorkClassId;

/**
 * The operators' configuration: one immutable document with a generation.
 *
 * @param generation the document's generation; 0 is the empty document
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
}
