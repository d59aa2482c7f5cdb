package org.amaranthstream.bench;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** One subcommand of the bench binary. */
public interface BenchCommand {

  /** Returns the word that selects the command. */
  String name();

  /** Adds the command's help and arguments. */
  void configure(Subparser parser);

  /** Runs the command and returns its exit status, 0 for success. */
  int run(Namespace arguments);
}
