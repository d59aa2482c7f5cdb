package org.amaranthstream.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The command that prints a summary of the state of a daemon, one line per value. */
final class StatusCommand implements Command {

  @Override
  public void addParser(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("status")
            .help("print a summary of the state of a daemon")
            .setDefault(KEY, this);
    AdminCommandSupport.addOptions(parser);
  }

  @Override
  public ExitCode run(Namespace arguments, Terminal terminal) {
    return AdminCommandSupport.call(
        arguments,
        terminal,
        client -> client.get("/v1/admin/status"),
        response -> formatStatus(response.json()));
  }

  private static String formatStatus(JsonNode status) {
    return status.properties().stream()
        .map(entry -> String.format("%-20s %s%n", entry.getKey(), formatValue(entry.getValue())))
        .collect(Collectors.joining());
  }

  private static String formatValue(JsonNode node) {
    return node.isValueNode() ? node.asText() : node.toString();
  }
}
