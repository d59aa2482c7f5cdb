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

/**
 * Java process that runs a main class of the class path with a heap of at most 64 MB. {@link
 * #close} kills it. Thread safe.
 */
final class JavaProcess implements AutoCloseable {
  private static final int START_TIMEOUT_SECONDS = 60;
  private static final int EXIT_TIMEOUT_SECONDS = 10;
  private static final ImmutableList<String> JVM_FLAGS =
      ImmutableList.of(
          "-XX:+UseSerialGC",
          "-Xms16m",
          "-Xmx64m",
          "-XX:TieredStopAtLevel=1",
          "-Xss512k",
          "-XX:+ExitOnOutOfMemoryError");

  private static final String STARTED_EVENT = "event=started";

  private final CompletableFuture<Boolean> outputCopied = new CompletableFuture<>();

  private final String name;
  private final Process process;
  private final CompletableFuture<Map<String, String>> started = new CompletableFuture<>();

  private JavaProcess(String name, Process process) {
    this.name = name;
    this.process = process;
  }

  /**
   * Starts a process.
   *
   * @param name the name of the process in messages
   * @param main the main class
   * @param arguments the arguments of the main class
   * @param log the file that standard output and standard error are copied to
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

  /**
   * Returns a value of the log line {@code event=started key=value ...}. Waits until the process
   * has printed the line.
   *
   * @throws RuntimeException if the process does not print the line within 60 s
   */
  String startedValue(String key) {
    Map<String, String> values =
        started
            .orTimeout(START_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .exceptionally(
                e -> {
                  throw new IllegalStateException(name + " did not log event=started", e);
                })
            .join();
    return values.get(key);
  }

  /** Returns the port in the log line {@code event=started}. */
  int startedPort() {
    return Integer.parseInt(startedValue("port"));
  }

  /** Returns the processor time that the process has used, in ms. */
  long processorMs() {
    return process.info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
  }

  /** Sends {@code SIGTERM}, as a platform does before it removes a VM. */
  void terminate() {
    // Process.destroy would close the output stream and truncate the log.
    process.toHandle().destroy();
  }

  /** Waits until the process has ended and its log is complete, and returns its exit status. */
  int awaitExit(Duration timeout) {
    int status =
        process.onExit().orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS).join().exitValue();
    outputCopied.orTimeout(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    return status;
  }

  /** Sends a signal, for example {@code STOP}. */
  void signal(String signal) throws IOException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
        .start()
        .onExit()
        .orTimeout(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .join();
  }

  @Override
  public void close() {
    process.destroyForcibly();
    process.onExit().orTimeout(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
  }

  private void readOutput(Path log) {
    try (BufferedReader output =
            new BufferedReader(
                new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        PrintWriter logWriter = new PrintWriter(Files.newBufferedWriter(log), true)) {
      String line = output.readLine();
      while (line != null) {
        logWriter.println(line);
        int eventIndex = line.indexOf(STARTED_EVENT);
        if (eventIndex >= 0) {
          String pairs = line.substring(eventIndex);
          started.complete(Splitter.on(' ').withKeyValueSeparator('=').split(pairs));
        }
        line = output.readLine();
      }
      started.completeExceptionally(
          new IOException("process ended before it logged event=started"));
    } catch (IOException e) {
      started.completeExceptionally(e);
    } finally {
      outputCopied.complete(true);
    }
  }

  private static File nullFile() {
    return new File("/dev/null");
  }
}
