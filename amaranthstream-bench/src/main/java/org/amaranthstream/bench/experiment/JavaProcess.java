package org.amaranthstream.bench.experiment;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A process of the bench's own classes with a small heap. Closing it kills it. Thread safe. */
final class JavaProcess implements AutoCloseable {
  private static final int START_SECONDS = 60;
  private static final int EXIT_SECONDS = 10;
  private static final ImmutableList<String> JVM_FLAGS =
      ImmutableList.of(
          "-XX:+UseSerialGC",
          "-Xms16m",
          "-Xmx64m",
          "-XX:TieredStopAtLevel=1",
          "-Xss512k",
          "-XX:+ExitOnOutOfMemoryError");

  private static final String STARTED = "event=started";

  private final CompletableFuture<Boolean> copied = new CompletableFuture<>();

  private final String name;
  private final Process process;
  private final CompletableFuture<Map<String, String>> started = new CompletableFuture<>();

  private JavaProcess(String name, Process process) {
    this.name = name;
    this.process = process;
  }

  /**
   * Starts the main class with arguments; its log goes to {@code log}.
   *
   * @param name what to call it in messages
   */
  static JavaProcess start(String name, Class<?> main, List<String> arguments, Path log)
      throws IOException {
    ImmutableList<String> command =
        ImmutableList.<String>builder()
            .add(ProcessHandle.current().info().command().orElse("java"))
            .addAll(JVM_FLAGS)
            .add("-cp", System.getProperty("java.class.path"), main.getName())
            .addAll(arguments)
            .build();
    Process process =
        new ProcessBuilder(command).redirectErrorStream(true).redirectInput(nullFile()).start();
    JavaProcess started = new JavaProcess(name, process);
    Thread reader = new Thread(() -> started.readOutput(log), "output-" + name);
    reader.setDaemon(true);
    reader.start();
    return started;
  }

  /** Returns a value of the line {@code event=started ...}, once it was printed. */
  String startedValue(String key) {
    Map<String, String> values =
        started
            .orTimeout(START_SECONDS, TimeUnit.SECONDS)
            .exceptionally(
                e -> {
                  throw new IllegalStateException(name + " did not start", e);
                })
            .join();
    return values.get(key);
  }

  int startedPort() {
    return Integer.parseInt(startedValue("port"));
  }

  /** Returns the processor time it has used, in ms. */
  long processorMs() {
    return process.info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
  }

  /** Asks the process to stop, as a platform does before it takes a VM away. */
  void terminate() {
    // Process.destroy would close the output, and with it the log.
    process.toHandle().destroy();
  }

  /** Waits until the process has ended and its log is whole, and returns its exit status. */
  int awaitExit(Duration bound) {
    int status =
        process.onExit().orTimeout(bound.toMillis(), TimeUnit.MILLISECONDS).join().exitValue();
    copied.orTimeout(EXIT_SECONDS, TimeUnit.SECONDS).join();
    return status;
  }

  /** Sends {@code signal}, for example {@code STOP}. */
  void signal(String signal) throws IOException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
        .start()
        .onExit()
        .orTimeout(EXIT_SECONDS, TimeUnit.SECONDS)
        .join();
  }

  @Override
  public void close() {
    process.destroyForcibly();
    process.onExit().orTimeout(EXIT_SECONDS, TimeUnit.SECONDS).join();
  }

  private void readOutput(Path log) {
    try (BufferedReader lines =
            new BufferedReader(
                new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        PrintWriter copy = new PrintWriter(Files.newBufferedWriter(log), true)) {
      String line = lines.readLine();
      while (line != null) {
        copy.println(line);
        int event = line.indexOf(STARTED);
        if (event >= 0) {
          String pairs = line.substring(event);
          started.complete(Splitter.on(' ').withKeyValueSeparator('=').split(pairs));
        }
        line = lines.readLine();
      }
      started.completeExceptionally(new IOException("process ended"));
    } catch (IOException e) {
      started.completeExceptionally(e);
    } finally {
      copied.complete(true);
    }
  }

  private static File nullFile() {
    return new File("/dev/null");
  }
}
