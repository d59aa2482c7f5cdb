package org.amaranthstream.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** A command of the command line. */
interface Command {

  /** Adds the parser of this command; it sets this command as the default of {@link #KEY}. */
  void addParser(Subparsers parsers);

  /** Runs the command. */
  ExitCode run(Namespace arguments, Terminal terminal);

  /** Where the parsed arguments hold the command. */
  String KEY = "command";
}
