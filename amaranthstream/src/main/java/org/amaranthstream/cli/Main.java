package org.amaranthstream.cli;

import org.amaranthstream.logs.LogSetup;

/** Entry point of the amaranthstream binary. */
public final class Main {
  private Main() {}

  /** Runs the command line and ends the process with the command's exit code. */
  public static void main(String[] args) {
    LogSetup.prepare();
    System.exit(CommandLine.run(new Terminal(System.out, System.err), args).status());
  }
}
