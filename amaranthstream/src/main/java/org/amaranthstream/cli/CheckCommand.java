package org.amaranthstream.cli;

import java.nio.file.Path;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.amaranthstream.config.ConfigCodec;
import org.amaranthstream.config.OperatorConfig;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.result.Result;
import org.amaranthstream.settings.Settings;
import org.amaranthstream.settings.SettingsLoader;

/**
 * The command that validates a settings file and, optionally, a configuration file. It starts no
 * daemon.
 */
final class CheckCommand implements Command {

  @Override
  public void addParser(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("check")
            .help("validate a settings file and, optionally, a configuration file")
            .setDefault(KEY, this);
    parser
        .addArgument("--settings")
        .required(true)
        .metavar("FILE")
        .help("settings file of a process");
    parser.addArgument("--config").metavar("FILE").help("configuration file of the operators");
  }

  @Override
  public ExitCode run(Namespace arguments, Terminal terminal) {
    Path file = Path.of(arguments.getString("settings"));
    Result<Settings> settings = SettingsLoader.load(file);
    if (settings instanceof Result.Failure<Settings> failure) {
      return terminal.fail(failure.error());
    }
    terminal.print(file + ": ok");
    return Optional.ofNullable(arguments.getString("config"))
        .map(config -> checkConfig(Path.of(config), terminal))
        .orElse(ExitCode.OK);
  }

  private static ExitCode checkConfig(Path file, Terminal terminal) {
    Result<String> text = TextFiles.read(file);
    if (text instanceof Result.Failure<String> failure) {
      return terminal.fail(failure.error());
    }
    Result<OperatorConfig> config =
        ConfigCodec.decode(
            file.toString(), ((Result.Success<String>) text).value(), ConfigGeneration.of(0));
    if (config instanceof Result.Failure<OperatorConfig> failure) {
      return terminal.fail(failure.error());
    }
    terminal.print(file + ": ok");
    return ExitCode.OK;
  }
}
