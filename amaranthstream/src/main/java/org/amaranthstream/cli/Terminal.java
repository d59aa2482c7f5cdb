package org.amaranthstream.cli;

import java.io.PrintStream;
import org.amaranthstream.result.ErrorDetail;

/**
 * Where a command prints.
 *
 * @param out what was asked for
 * @param err errors
 */
record Terminal(PrintStream out, PrintStream err) {

  void print(String text) {
    out.print(text.endsWith("\n") || text.isEmpty() ? text : text + "\n");
    out.flush();
  }

  ExitCode fail(ErrorDetail error) {
    err.println("error " + error);
    return ExitCode.of(error.code());
  }
}
