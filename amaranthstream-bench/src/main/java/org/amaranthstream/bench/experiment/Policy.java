package org.amaranthstream.bench.experiment;

import java.util.Locale;

/** The decisions that daemons take. */
enum Policy {
  /** Those of the product. */
  AMARANTHSTREAM(org.amaranthstream.cli.Main.class),
  /** Round robin, first in first out, fixed concurrency, no generate-ahead, plain retry. */
  BASELINE(BaselineDaemon.class);

  private final Class<?> main;

  Policy(Class<?> main) {
    this.main = main;
  }

  static Policy of(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT));
  }

  Class<?> main() {
    return main;
  }

  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
