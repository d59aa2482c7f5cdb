package org.amaranthstream.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** A command of the command-line interface. */
interface Command {

  /** Adds the parser of this command, which stores this command under {@link #KEY}. */
  void addParser(Subparsers parsers);

  /** Runs the command and returns the exit code of the process. */
  ExitCode run(Namespace arguments, Terminal terminal);

  /** Key of the command in the parsed arguments. */
  String KEY = "command";
}
