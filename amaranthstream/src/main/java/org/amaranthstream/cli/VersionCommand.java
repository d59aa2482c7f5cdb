package org.amaranthstream.cli;

import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The command that prints the version. */
final class VersionCommand implements Command {

  @Override
  public void addParser(Subparsers parsers) {
    parsers.addParser("version").help("print the version").setDefault(KEY, this);
  }

  @Override
  public ExitCode run(Namespace arguments, Terminal terminal) {
    String version =
        Optional.ofNullable(VersionCommand.class.getPackage().getImplementationVersion())
            .orElse("0.1.0");
    terminal.print("amaranthstream " + version);
    return ExitCode.OK;
  }
}
