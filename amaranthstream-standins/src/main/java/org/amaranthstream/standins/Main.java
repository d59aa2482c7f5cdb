package org.amaranthstream.standins;

import org.amaranthstream.standins.cli.StandinsCommand;

/** Entry point of the stand-ins' binary. */
public final class Main {
  private Main() {}

  /** Runs the command line. */
  public static void main(String[] args) {
    System.setProperty(
        "java.util.logging.SimpleFormatter.format", "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n");
    StandinsCommand.run(args);
  }
}
