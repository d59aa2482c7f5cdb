package org.amaranthstream.standins.cli;

import net.sourceforge.argparse4j.inf.Subparser;

/** Helpers for declaring command-line arguments. */
final class Arguments {
  private Arguments() {}

  /** Adds an optional integer argument. */
  static void addInteger(Subparser parser, String flag, int defaultValue, String help) {
    parser.addArgument(flag).type(Integer.class).setDefault(defaultValue).help(help);
  }
}
