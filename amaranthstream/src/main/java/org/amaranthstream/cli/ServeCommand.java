package org.amaranthstream.cli;

import java.nio.file.Path;
import java.util.logging.Level;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.amaranthstream.daemon.DaemonProcess;
import org.amaranthstream.daemon.PolicySet;
import org.amaranthstream.logs.LogSetup;
import org.amaranthstream.result.Result;
import org.amaranthstream.settings.Settings;
import org.amaranthstream.settings.SettingsLoader;

/** The command that runs the daemon of an entry VM until the process is requested to stop. */
final class ServeCommand implements Command {

  @Override
  public void addParser(Subparsers parsers) {
    Subparser parser =
        parsers.addParser("serve").help("run the daemon of an entry VM").setDefault(KEY, this);
    parser
        .addArgument("--settings")
        .required(true)
        .metavar("FILE")
        .help("settings file of the process");
  }

  @Override
  public ExitCode run(Namespace arguments, Terminal terminal) {
    LogSetup.install(Level.INFO, terminal.out());
    Result<Settings> settings = SettingsLoader.load(Path.of(arguments.getString("settings")));
    if (settings instanceof Result.Success<Settings> success) {
      return terminal.fail(DaemonProcess.run(success.value(), PolicySet.standard()));
    }
    return terminal.fail(((Result.Failure<Settings>) settings).error());
  }
}
