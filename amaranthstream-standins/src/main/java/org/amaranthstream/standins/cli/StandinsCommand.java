package org.amaranthstream.standins.cli;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.amaranthstream.standins.server.Standin;

/** Command line of the stand-ins, with one subcommand for each kind. */
public final class StandinsCommand {
  private static final int EXIT_USAGE = 64;

  private StandinsCommand() {}

  /**
   * Parses and runs the command line. A server keeps running after this method returns; a trainer
   * and a usage error end the process.
   */
  public static void run(String[] args) {
    ArgumentParser parser =
        ArgumentParsers.newFor("amaranthstream-standins")
            .build()
            .defaultHelp(true)
            .description("Stand-ins for the platform, backend servers and trainers.");
    Subparsers commands = parser.addSubparsers().dest("command").metavar("COMMAND");
    ServerCommands.addTo(commands);
    TrainerCommand.addTo(commands);
    try {
      start(parser.parseArgs(args));
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(EXIT_USAGE);
    }
  }

  private static void start(Namespace args) {
    String command = args.getString("command");
    if (command.equals("trainer")) {
      System.exit(TrainerCommand.run(args));
    }
    Standin standin = ServerCommands.start(command, args);
    System.out.printf("event=started role=%s port=%d%n", command, standin.port());
  }
}
