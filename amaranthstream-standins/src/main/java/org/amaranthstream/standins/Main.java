package org.amaranthstream.standins;

/** Entry point of the standins binary. */
public final class Main {
  private Main() {}

  /** Runs the command line. */
  public static void main(String[] args) {
    System.out.println("amaranthstream-standins");
  }
}
