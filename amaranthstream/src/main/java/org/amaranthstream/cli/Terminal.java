package org.amaranthstream.cli;

import java.io.PrintStream;
import org.amaranthstream.result.ErrorDetail;

/**
 * The output streams of a command.
 *
 * @param out the stream for results
 * @param err the stream for errors
 */
record Terminal(PrintStream out, PrintStream err) {

  /** Prints {@code text} with a final line break to the result stream. */
  void print(String text) {
    out.print(text.endsWith("\n") || text.isEmpty() ? text : text + "\n");
    out.flush();
  }

  /** Prints {@code error} to the error stream and returns its exit code. */
  ExitCode fail(ErrorDetail error) {
    err.println("error " + error);
    return ExitCode.of(error.code());
  }
}
