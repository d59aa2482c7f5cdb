package org.amaranthstream.bench.experiment;

import java.util.Locale;

/** What goes wrong in a run, from a third of its time on. */
enum Fault {
  /** Nothing. */
  NONE,
  /** One engine crashes and is back after some seconds. */
  ENGINE_CRASH,
  /** A request that crashes the engine that runs it is sent again every second. */
  POISON,
  /** All open connections of one engine go silent; new ones work. */
  FROZEN_CONNECTION,
  /** One zone is cut off from the others and from the platform for a third of the time. */
  ZONE_CUT,
  /** The key-value service answers 503 for a third of the time. */
  KV_OUTAGE,
  /** The next weight swap of every engine fails once. */
  SWAP_FAILURE;

  static Fault of(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
  }

  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
