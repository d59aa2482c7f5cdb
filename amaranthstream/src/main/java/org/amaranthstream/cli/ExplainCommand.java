package org.amaranthstream.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Explains what was decided about a request, and why. */
final class ExplainCommand implements Command {

  @Override
  public void addParser(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("explain")
            .help("say what was decided about a request, and why")
            .setDefault(KEY, this);
    parser.addArgument("id").metavar("ID").help("request id, as in the Request-Id header");
    AdminAccess.addOptions(parser);
  }

  @Override
  public ExitCode run(Namespace arguments, Terminal terminal) {
    String id = URLEncoder.encode(arguments.getString("id"), StandardCharsets.UTF_8);
    return AdminAccess.call(
        arguments,
        terminal,
        client -> client.get("/v1/admin/explain?id=" + id),
        answer -> answer.json().path("explanation").asText());
  }
}
