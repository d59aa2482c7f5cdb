package org.amaranthstream.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The command that explains the decisions about a request. */
final class ExplainCommand implements Command {

  @Override
  public void addParser(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("explain")
            .help("explain the decisions about a request")
            .setDefault(KEY, this);
    parser.addArgument("id").metavar("ID").help("request id, as in the Request-Id header");
    AdminCommandSupport.addOptions(parser);
  }

  @Override
  public ExitCode run(Namespace arguments, Terminal terminal) {
    String id = URLEncoder.encode(arguments.getString("id"), StandardCharsets.UTF_8);
    return AdminCommandSupport.call(
        arguments,
        terminal,
        client -> client.get("/v1/admin/explain?id=" + id),
        response -> response.json().path("explanation").asText());
  }
}
