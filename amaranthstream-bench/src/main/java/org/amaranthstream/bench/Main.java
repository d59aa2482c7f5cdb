package org.amaranthstream.bench;

import java.util.logging.Level;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.amaranthstream.logs.LogSetup;

/** Entry point of the bench binary: one subcommand for each measurement, and the demo. */
public final class Main {
  private static final String COMMAND = "benchCommand";
  private static final int EXIT_USAGE = 64;

  private Main() {}

  /** Runs the command line and exits with the command's status. */
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
      command.configure(subparsers.addParser(command.name()).setDefault(COMMAND, command));
    }
    try {
      Namespace parsed = parser.parseArgs(args);
      BenchCommand command = parsed.get(COMMAND);
      System.exit(command.run(parsed));
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(EXIT_USAGE);
    }
  }
}
