package org.amaranthstream.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Prints the short state of a daemon, one line for each value. */
final class StatusCommand implements Command {

  @Override
  public void addParser(Subparsers parsers) {
    Subparser parser =
        parsers.addParser("status").help("print the short state of a daemon").setDefault(KEY, this);
    AdminAccess.addOptions(parser);
  }

  @Override
  public ExitCode run(Namespace arguments, Terminal terminal) {
    return AdminAccess.call(
        arguments,
        terminal,
        client -> client.get("/v1/admin/status"),
        answer -> lines(answer.json()));
  }

  private static String lines(JsonNode status) {
    return status.properties().stream()
        .map(entry -> String.format("%-20s %s%n", entry.getKey(), value(entry.getValue())))
        .collect(Collectors.joining());
  }

  private static String value(JsonNode node) {
    return node.isValueNode() ? node.asText() : node.toString();
  }
}
