package org.amaranthstream.bench;

import java.util.logging.Level;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.amaranthstream.logs.LogSetup;

/** Entry point of the bench program, which has a subcommand for each measurement and the demo. */
public final class Main {
  private static final String COMMAND_KEY = "benchCommand";
  private static final int EXIT_USAGE = 64;

  private Main() {}

  /** Runs the selected command and exits with its status, or with 64 for a usage error. */
  public static void main(String[] args) {
    LogSetup.prepare();
    LogSetup.install(Level.INFO, System.err);
    ArgumentParser parser =
        ArgumentParsers.newFor("amaranthstream-bench")
            .build()
            .defaultHelp(true)
            .description("Demo, measurements and experiments of amaranthstream.");
    Subparsers subparsers = parser.addSubparsers().metavar("COMMAND");
    for (BenchCommand command : BenchCommands.all()) {
      command.configure(subparsers.addParser(command.name()).setDefault(COMMAND_KEY, command));
    }
    try {
      Namespace arguments = parser.parseArgs(args);
      BenchCommand command = arguments.get(COMMAND_KEY);
      System.exit(command.run(arguments));
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(EXIT_USAGE);
    }
  }
}
