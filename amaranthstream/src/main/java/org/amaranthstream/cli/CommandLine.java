package org.amaranthstream.cli;

import com.google.common.collect.ImmutableList;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Parser of the command line, which runs the selected command. */
final class CommandLine {
  private static final ImmutableList<Command> COMMANDS =
      ImmutableList.of(
          new ServeCommand(),
          new CheckCommand(),
          new ConfigCommand(),
          new ExplainCommand(),
          new DumpCommand(),
          new StatusCommand(),
          new VersionCommand());

  private CommandLine() {}

  /** Parses {@code arguments}, runs the command and returns its exit code. */
  static ExitCode run(Terminal terminal, String... arguments) {
    ArgumentParser parser =
        ArgumentParsers.newFor("amaranthstream")
            .build()
            .description("Rollout service for reinforcement-learning trainers and live traffic.");
    Subparsers parsers = parser.addSubparsers().title("commands").metavar("COMMAND");
    COMMANDS.forEach(command -> command.addParser(parsers));
    try {
      Namespace parsed = parser.parseArgs(arguments);
      Command command = parsed.get(Command.KEY);
      return command.run(parsed, terminal);
    } catch (HelpScreenException e) {
      return ExitCode.OK;
    } catch (ArgumentParserException e) {
      PrintWriter writer = new PrintWriter(terminal.err(), true, StandardCharsets.UTF_8);
      parser.handleError(e, writer);
      writer.flush();
      return ExitCode.USAGE;
    }
  }
}
