package org.amaranthstream.bench.experiment;

import java.util.Locale;

/** Fault that is injected into a run after a third of its time. */
enum Fault {
  /** No fault. */
  NONE,
  /** One engine crashes and restarts after a few seconds. */
  ENGINE_CRASH,
  /** A request that crashes the engine that runs it is sent every second. */
  POISON,
  /** All open connections of one engine transfer no more data. New connections work. */
  FROZEN_CONNECTION,
  /** One zone cannot reach the other zones and the platform for a third of the time. */
  ZONE_CUT,
  /** The key-value service responds with status 503 for a third of the time. */
  KV_OUTAGE,
  /** The next weight swap of every engine fails once. */
  SWAP_FAILURE;

  /** Returns the fault with a label. */
  static Fault of(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
  }

  /** Returns the name in lower case with hyphens, as in the flags and results. */
  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
