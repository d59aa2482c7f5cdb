import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** The record of what was sent, answered and run. */
final class Log implements AutoCloseable {
  private final long start = System.nanoTime();
  private final PrintWriter out;
  final Map<String, Integer> runs = new ConcurrentHashMap<>();
  final Set<String> finished = ConcurrentHashMap.newKeySet();

  private record Run(String request, double seconds) {}

  private final List<Run> runTimes = new CopyOnWriteArrayList<>();

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
    runTimes.add(new Run(request, seconds()));
    line("run replica=" + replica + " request=" + request + " path=" + path + " bytes=" + bytes);
  }

  /** Returns the time since the start of the record. */
  double seconds() {
    return (System.nanoTime() - start) / 1e9;
  }

  /** Returns the number of runs, later than a time, of requests whose id begins with a prefix. */
  int runsAfter(String prefix, double seconds) {
    return (int) runTimes.stream().filter(run -> run.request.startsWith(prefix) && run.seconds > seconds).count();
  }

  void finished(String request) {
    finished.add(request);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
