package org.amaranthstream.cli;

import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.amaranthstream.daemon.Daemon;
import org.amaranthstream.daemon.PolicySet;
import org.amaranthstream.result.Result;
import org.amaranthstream.settings.Settings;
import org.amaranthstream.settings.SettingsLoader;

/** Runs the daemon of an entry VM until the process is asked to stop. */
final class ServeCommand implements Command {

  @Override
  public void addParser(Subparsers parsers) {
    Subparser parser =
        parsers.addParser("serve").help("run the daemon of an entry VM").setDefault(KEY, this);
    parser.addArgument("--settings").required(true).metavar("FILE").help("settings of the process");
  }

  @Override
  public ExitCode run(Namespace arguments, Terminal terminal) {
    Result<Settings> settings = SettingsLoader.load(Path.of(arguments.getString("settings")));
    if (settings instanceof Result.Failure<Settings> failure) {
      return terminal.fail(failure.error());
    }
    Result<Daemon> daemon =
        Daemon.start(((Result.Success<Settings>) settings).value(), PolicySet.standard());
    if (daemon instanceof Result.Failure<Daemon> failure) {
      return terminal.fail(failure.error());
    }
    return serve(((Result.Success<Daemon>) daemon).value());
  }

  /** Waits for ever; the shutdown hook drains the daemon and ends the process. */
  private static ExitCode serve(Daemon daemon) {
    Runtime.getRuntime().addShutdownHook(new Thread(daemon::drain, "shutdown"));
    try {
      Thread.currentThread().join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return ExitCode.OK;
  }
}
