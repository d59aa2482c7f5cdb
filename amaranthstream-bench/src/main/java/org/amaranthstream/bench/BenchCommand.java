package org.amaranthstream.bench;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Subcommand of the bench program. */
public interface BenchCommand {

  /** Returns the name that selects the command on the command line. */
  String name();

  /** Adds the help text and the arguments of the command to {@code parser}. */
  void configure(Subparser parser);

  /** Runs the command and returns the exit status of the process, 0 for success. */
  int run(Namespace arguments);
}
