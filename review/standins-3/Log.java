import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The record of what was sent, answered and run. */
final class Log implements AutoCloseable {
  private final long start = System.nanoTime();
  private final PrintWriter out;
  final Map<String, Integer> runs = new ConcurrentHashMap<>();
  final Set<String> finished = ConcurrentHashMap.newKeySet();

  Log(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  synchronized void line(String text) {
    String line = String.format("%7.2f %s", (System.nanoTime() - start) / 1e9, text);
    out.println(line);
    out.flush();
  }

  void run(String replica, String request, String path, int bytes) {
    runs.merge(request, 1, Integer::sum);
    line("run replica=" + replica + " request=" + request + " path=" + path + " bytes=" + bytes);
  }

  void finished(String request) {
    finished.add(request);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
