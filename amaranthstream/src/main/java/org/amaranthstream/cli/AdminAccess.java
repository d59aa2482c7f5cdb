package org.amaranthstream.cli;

import java.nio.file.Path;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.amaranthstream.result.Result;

/** The options that commands share which call a daemon, and the call itself. */
final class AdminAccess {
  private static final String DEFAULT_URL = "http://127.0.0.1:8080";

  private AdminAccess() {}

  static void addOptions(Subparser parser) {
    parser
        .addArgument("--url")
        .setDefault(DEFAULT_URL)
        .metavar("URL")
        .help("HTTP address of any daemon (default " + DEFAULT_URL + ")");
    parser
        .addArgument("--token-file")
        .required(true)
        .metavar("FILE")
        .help("file with an operator's token");
  }

  /** Makes a call and prints what {@code show} makes of its answer. */
  static ExitCode call(
      Namespace arguments,
      Terminal terminal,
      Function<AdminClient, Result<AdminAnswer>> call,
      Function<AdminAnswer, String> show) {
    Result<String> token = TextFiles.read(Path.of(arguments.getString("token_file")));
    if (token instanceof Result.Failure<String> failure) {
      return terminal.fail(failure.error());
    }
    String text = ((Result.Success<String>) token).value().strip();
    try (AdminClient client = new AdminClient(arguments.getString("url"), text)) {
      Result<AdminAnswer> answer = call.apply(client);
      if (answer instanceof Result.Success<AdminAnswer> success) {
        terminal.print(show.apply(success.value()));
        return ExitCode.OK;
      }
      return terminal.fail(((Result.Failure<AdminAnswer>) answer).error());
    }
  }
}
