package org.amaranthstream.standins;

import org.amaranthstream.standins.cli.StandinsCommand;

/** Entry point of the {@code amaranthstream-standins} binary. */
public final class Main {
  private Main() {}

  /** Sets the log format and runs the command line. */
  public static void main(String[] args) {
    System.setProperty(
        "java.util.logging.SimpleFormatter.format", "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n");
    StandinsCommand.run(args);
  }
}
