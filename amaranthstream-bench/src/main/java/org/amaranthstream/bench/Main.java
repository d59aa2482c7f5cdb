package org.amaranthstream.bench;

/** Entry point of the bench binary. */
public final class Main {
  private Main() {}

  /** Runs the command line. */
  public static void main(String[] args) {
    System.out.println("amaranthstream-bench");
  }
}
