package org.amaranthstream.standins.cli;

import net.sourceforge.argparse4j.inf.Subparser;

/** Kinds of arguments that several subcommands have. */
final class Arguments {
  private Arguments() {}

  /** Adds an argument that is a whole number. */
  static void number(Subparser parser, String flag, int value, String help) {
    parser.addArgument(flag).type(Integer.class).setDefault(value).help(help);
  }
}
