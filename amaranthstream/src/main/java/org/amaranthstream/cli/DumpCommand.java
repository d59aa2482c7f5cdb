package org.amaranthstream.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The command that prints the full state of a daemon as JSON. */
final class DumpCommand implements Command {

  @Override
  public void addParser(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("dump")
            .help("print the full state of a daemon as JSON")
            .setDefault(KEY, this);
    AdminCommandSupport.addOptions(parser);
  }

  @Override
  public ExitCode run(Namespace arguments, Terminal terminal) {
    return AdminCommandSupport.call(
        arguments, terminal, client -> client.get("/v1/admin/dump"), AdminResponse::body);
  }
}
