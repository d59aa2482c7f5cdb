package org.amaranthstream.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.result.Result;

/** The command that reads and changes the configuration: {@code config get|put|history}. */
final class ConfigCommand implements Command {
  private static final String PATH = "/v1/admin/config";
  private static final String ACTION = "action";

  private enum Action {
    GET,
    PUT,
    HISTORY
  }

  @Override
  public void addParser(Subparsers parsers) {
    Subparser parser = parsers.addParser("config").help("read or change the configuration");
    Subparsers actions = parser.addSubparsers().title("actions").metavar("ACTION");
    addAction(actions, "get", Action.GET, "print the active configuration");
    addAction(actions, "history", Action.HISTORY, "print the latest changes");
    Subparser put = addAction(actions, "put", Action.PUT, "replace the configuration");
    put.addArgument("--file")
        .required(true)
        .metavar("FILE")
        .help("file with the new configuration");
    put.addArgument("--generation")
        .required(true)
        .type(Long.class)
        .metavar("N")
        .help("generation to replace, as printed by config get");
  }

  private Subparser addAction(Subparsers actions, String name, Action action, String help) {
    Subparser parser = actions.addParser(name).help(help);
    parser.setDefault(KEY, this).setDefault(ACTION, action);
    AdminCommandSupport.addOptions(parser);
    return parser;
  }

  @Override
  public ExitCode run(Namespace arguments, Terminal terminal) {
    Action action = arguments.get(ACTION);
    return switch (action) {
      case GET ->
          AdminCommandSupport.call(
              arguments, terminal, client -> client.get(PATH), ConfigCommand::formatConfig);
      case HISTORY ->
          AdminCommandSupport.call(
              arguments,
              terminal,
              client -> client.get(PATH + "/history"),
              response -> formatHistory(response.json()));
      case PUT -> put(arguments, terminal);
    };
  }

  private static ExitCode put(Namespace arguments, Terminal terminal) {
    Result<String> yaml = TextFiles.read(Path.of(arguments.getString("file")));
    if (yaml instanceof Result.Failure<String> failure) {
      return terminal.fail(failure.error());
    }
    String text = ((Result.Success<String>) yaml).value();
    long generation = Math.max(0, arguments.getLong("generation"));
    return AdminCommandSupport.call(
        arguments,
        terminal,
        client -> client.put(PATH, ConfigGeneration.of(generation), text),
        response -> "generation " + response.generation() + " is accepted");
  }

  private static String formatConfig(AdminResponse response) {
    return "# generation " + response.generation() + "\n" + response.body();
  }

  private static String formatHistory(JsonNode body) {
    StringBuilder lines = new StringBuilder();
    for (JsonNode change : body.path("history")) {
      lines.append(
          String.format(
              "%6d  %s  %-12s  %s%n",
              change.path("generation").asLong(),
              change.path("at").asText(),
              change.path("operator").asText(),
              change.path("summary").asText()));
    }
    return lines.toString();
  }
}
