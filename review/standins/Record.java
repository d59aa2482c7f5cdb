import java.io.PrintWriter;
import java.nio.file.Path;

/** The record of what was sent, answered and run, with times in milliseconds since the start. */
final class Record {
  private static final long START = System.nanoTime();
  private static PrintWriter out;

  private Record() {}

  static void open(Path file) throws Exception {
    out = new PrintWriter(file.toFile(), "UTF-8");
  }

  static long now() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  static synchronized void log(String text) {
    out.printf("%6d %s%n", now(), text);
    out.flush();
  }
}
