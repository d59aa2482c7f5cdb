package org.amaranthstream.cli;

/** Entry point of the amaranthstream binary. */
public final class Main {
  private Main() {}

  /** Runs the command line. */
  public static void main(String[] args) {
    System.out.println("amaranthstream");
  }
}
