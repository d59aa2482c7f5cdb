import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line for each thing that was sent, answered or run, with its time. */
final class Record {
  private final PrintWriter out;
  private final long start = System.nanoTime();

  Record(Path file) throws IOException {
    this.out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  synchronized void add(String format, Object... arguments) {
    double seconds = (System.nanoTime() - start) / 1e9;
    String line = String.format("%8.3f ", seconds) + String.format(format, arguments);
    out.println(line);
    System.out.println(line);
  }
}
