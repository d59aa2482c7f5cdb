import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A daemon of the project, started with the line of the deploy file. */
final class Daemon {
  final String name;
  final String host;
  private final int base;
  private final Path folder;
  private final Record record;
  private Process process;
  private int starts;

  /** Creates a daemon that listens on the ports {@code base} to {@code base + 2} of a host. */
  Daemon(String name, String zone, String host, int base, String store, Path folder, Record record)
      throws IOException {
    this.name = name;
    this.host = host;
    this.base = base;
    this.folder = folder;
    this.record = record;
    Files.writeString(
        settings(),
        String.join(
            "\n",
            "vm: \"" + name + "\"",
            "zone: \"" + zone + "\"",
            "region: \"north\"",
            "host: \"" + host + "\"",
            "front: \"" + front() + "\"",
            "ready: \"" + ready() + "\"",
            "peerPort: " + (base + 2),
            "store: \"" + store + "\"",
            "zones:",
            "  - { zone: \"zone-a\", region: \"north\" }",
            "  - { zone: \"zone-b\", region: \"north\" }",
            "orderTurn: \"3000ms\"",
            "processor: { share: \"0.75\", speed: \"1\" }",
            "weighPrompts: true",
            "itemScheduling: { sharedSlots: true, fairOrder: true, expectedEnd: true }",
            ""));
  }

  private Path settings() {
    return folder.resolve(name + ".yaml");
  }

  String front() {
    return host + ":" + base;
  }

  String ready() {
    return host + ":" + (base + 1);
  }

  /** Starts the program with the line of the role "edge" of the deploy file. */
  void start() throws IOException {
    boolean isEdge = false;
    String run = null;
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("[")) {
        isEdge = line.equals("[roles.edge]");
      } else if (isEdge && line.startsWith("run = ")) {
        run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    ProcessBuilder builder = new ProcessBuilder(List.of(run.split(" ")));
    builder.environment().clear();
    for (String kept : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
      if (System.getenv(kept) != null) {
        builder.environment().put(kept, System.getenv(kept));
      }
    }
    builder.environment().put("AMARANTHSTREAM_CONFIG", settings().toAbsolutePath().toString());
    File log = folder.resolve(name + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    process = builder.start();
    starts++;
    record.add("daemon %s started, start %d, process %d", name, starts, process.pid());
  }

  boolean isRunning() {
    return process != null && process.isAlive();
  }

  /** Returns the exit value of the last process, or -1 while it runs. */
  int exitValue() {
    return isRunning() ? -1 : process.exitValue();
  }

  int starts() {
    return starts;
  }

  long pid() {
    return process.pid();
  }

  void signal(String signal) throws IOException {
    record.add("daemon %s gets SIG%s", name, signal);
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  boolean isReady() {
    return isRunning()
        && Client.send(ready(), "GET", "/v1/ready", Map.of("Host", "ready"), new byte[0], 1000)
                .status()
            == 200;
  }

  boolean awaitReady(long millis) throws InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() - end < 0) {
      if (isReady()) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  boolean awaitEnd(long millis) throws InterruptedException {
    return process == null || process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  void kill() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
