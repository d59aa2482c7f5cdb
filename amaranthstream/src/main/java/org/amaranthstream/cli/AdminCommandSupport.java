package org.amaranthstream.cli;

import java.nio.file.Path;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.amaranthstream.result.Result;

/** Options and call handling shared by the commands that call the administration API. */
final class AdminCommandSupport {
  private static final String DEFAULT_URL = "http://127.0.0.1:8080";

  private AdminCommandSupport() {}

  /** Adds the options with the URL of a daemon and the file with the operator token. */
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
        .help("file with an operator token");
  }

  /**
   * Performs a call and prints its response, formatted by {@code formatter}. A failure is printed
   * as an error and determines the exit code.
   */
  static ExitCode call(
      Namespace arguments,
      Terminal terminal,
      Function<AdminClient, Result<AdminResponse>> call,
      Function<AdminResponse, String> formatter) {
    Result<String> token = TextFiles.read(Path.of(arguments.getString("token_file")));
    if (token instanceof Result.Failure<String> failure) {
      return terminal.fail(failure.error());
    }
    String text = ((Result.Success<String>) token).value().strip();
    try (AdminClient client = new AdminClient(arguments.getString("url"), text)) {
      Result<AdminResponse> response = call.apply(client);
      if (response instanceof Result.Success<AdminResponse> success) {
        terminal.print(formatter.apply(success.value()));
        return ExitCode.OK;
      }
      return terminal.fail(((Result.Failure<AdminResponse>) response).error());
    }
  }
}
