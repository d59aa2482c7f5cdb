import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback addresses: the platform's store and replicas in this process, and
 * the project's daemons as processes of their own, started with the command of the deploy file.
 */
final class Deployment implements AutoCloseable {
  static final String HOST = "ficu95.example";
  static final String MODEL = "daka510000";
  static final String[] ZONES = {"lisboa-a", "porto-a", "lisboa-b"};
  final Path root;
  final Path folder;
  final Log log;
  final Store store;
  final List<Replica> replicas = new ArrayList<>();
  final Map<Integer, Process> daemons = new LinkedHashMap<>();
  /** Counts of ends that no signal of the case has caused. */
  final List<String> ends = new ArrayList<>();
  private final java.util.Set<Process> signalled = java.util.concurrent.ConcurrentHashMap.newKeySet();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2, r -> {
    Thread t = new Thread(r, "timers");
    t.setDaemon(true);
    return t;
  });
  private final int net = 1 + new Random().nextInt(250);
  final int frontPort;
  private final int readyPort;
  private final int peerPort;
  private volatile boolean isClosing;

  Deployment(Path root, Log log) throws IOException {
    this.root = root;
    this.log = log;
    this.folder = Files.createTempDirectory("review-3-");
    this.store = new Store("127.0.0.1");
    int base = 20_000 + new Random().nextInt(10_000);
    this.frontPort = base;
    this.readyPort = base + 1;
    this.peerPort = base + 2;
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  String host(int daemon) {
    return "127." + net + ".0." + (10 + daemon);
  }

  private String zone(int daemon) {
    return ZONES[daemon % ZONES.length];
  }

  void addReplicas(int engines, int slots, int portals) throws IOException {
    for (int i = 0; i < engines; i++) {
      replicas.add(new Replica("127." + net + ".1." + (10 + i), "i-engine" + i, "coder-lm", ZONES[i % 3], MODEL, slots,
          store, timers, log));
    }
    for (int i = 0; i < portals; i++) {
      replicas.add(new Replica("127." + net + ".2." + (10 + i), "i-portal" + i, "survey-portal", ZONES[i % 3], null, 6,
          store, timers, log));
    }
  }

  /** Writes the configuration of the pages' example, with a route of each kind. */
  int queueTtlS = 40;

  void configure(long version) {
    configure(version, 2_500, 185);
  }

  void configure(long version, int quoteTimeoutMs, int quoteGoalMs) {
    store.put("op/config", "{\"version\":" + version + ",\"routes\":["
        + "{\"name\":\"r-lots\",\"host\":\"" + HOST + "\",\"prefix\":\"/pufi791/\",\"kind\":\"rollout\",\"timeoutMs\":10000,"
        + "\"goalMs\":500,\"priority\":1,\"service\":\"coder-lm\",\"attempts\":3,\"queueTtlS\":" + queueTtlS + ",\"runTargetMs\":7500,"
        + "\"singleVersion\":false,\"sticky\":true,\"resumable\":true},"
        + "{\"name\":\"r-quote\",\"host\":\"" + HOST + "\",\"prefix\":\"/lohu930/\",\"kind\":\"idempotent\",\"timeoutMs\":"
        + quoteTimeoutMs + ",\"goalMs\":" + quoteGoalMs + ",\"priority\":2,\"service\":\"survey-portal\",\"attempts\":2},"
        + "{\"name\":\"r-once\",\"host\":\"" + HOST + "\",\"prefix\":\"/once/\",\"kind\":\"non_idempotent\",\"timeoutMs\":2500,"
        + "\"goalMs\":185,\"priority\":2,\"service\":\"survey-portal\",\"attempts\":1}],"
        + "\"services\":[{\"name\":\"coder-lm\",\"healthPath\":\"/healthz\",\"maxConns\":150,\"protocol\":\"h1\",\"tls\":false,"
        + "\"engine\":{\"slots\":12,\"kvCapacity\":97026,\"kvTokenBytes\":35136,\"linkMbps\":1400000.0,\"models\":[{\"name\":\""
        + MODEL + "\"}]}},"
        + "{\"name\":\"survey-portal\",\"healthPath\":\"/healthz\",\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":33554432,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
  }

  /** Returns the settings of a daemon: the template of the deploy file, filled in. */
  private String settings(int daemon) throws IOException {
    String text = Files.readString(root.resolve("deploy/edge.yaml"));
    text = text.replaceAll("(?s)\\{\\{#cloud\\.address\\}\\}.*\\{\\{/cloud\\.address\\}\\}\\n?", "");
    StringBuilder zones = new StringBuilder();
    for (String zone : ZONES) {
      zones.append("  - { zone: \"").append(zone).append("\", region: \"").append(zone.replaceAll("-.*", "")).append("\" }\n");
    }
    text = text.replaceAll("(?s)\\{\\{#zones\\}\\}.*\\{\\{/zones\\}\\}\\n", zones.toString());
    return text.replace("{{nodeName}}", "edge-" + daemon)
        .replace("{{zone}}", zone(daemon))
        .replace("{{region}}", zone(daemon).replaceAll("-.*", ""))
        .replace("{{bindIp}}", host(daemon))
        .replace("{{listenAddrs.front}}", host(daemon) + ":" + frontPort)
        .replace("{{listenAddrs.ready}}", host(daemon) + ":" + readyPort)
        .replace("{{portRange.0}}", Integer.toString(peerPort))
        .replace("{{platform.address}}", store.address())
        .replace("{{bounds.leaseMs}}", "3000")
        .replace("{{limits.cpuShare}}", "0.75")
        .replace("{{limits.cpuCores}}", "1");
  }

  private List<String> command(String role) throws IOException {
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    String section = deploy.substring(deploy.indexOf("[roles." + role + "]"));
    String run = section.substring(section.indexOf("run = \"") + 7);
    return new ArrayList<>(List.of(run.substring(0, run.indexOf('"')).split(" ")));
  }

  /** Starts a daemon, or starts it again. */
  void start(int daemon) throws IOException {
    Path file = folder.resolve("edge-" + daemon + ".yaml");
    Files.writeString(file, settings(daemon));
    ProcessBuilder builder = new ProcessBuilder(command("edge")).directory(root.toFile());
    Map<String, String> env = builder.environment();
    env.keySet().removeIf(name -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(name));
    env.put("AMARANTHSTREAM_CONFIG", file.toString());
    File out = folder.resolve("edge-" + daemon + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(out));
    Process process = builder.start();
    daemons.put(daemon, process);
    log.line("start daemon=" + daemon + " pid=" + process.pid());
    process.onExit().thenAccept(ended -> {
      if (!isClosing) {
        boolean expected = signalled.contains(ended);
        log.line("ended daemon=" + daemon + " pid=" + ended.pid() + " code=" + ended.exitValue()
            + (expected ? " after a signal" : " BY ITSELF"));
        if (!expected) {
          synchronized (ends) {
            ends.add("daemon " + daemon + " code " + ended.exitValue());
          }
        }
      }
    });
  }

  /** Takes a daemon that has been killed out of the deployment for good. */
  void remove(int daemon) {
    daemons.remove(daemon);
  }

  void signal(int daemon, String signal) throws IOException {
    Process process = daemons.get(daemon);
    if (signal.equals("KILL") || signal.equals("TERM")) {
      signalled.add(process);
    }
    log.line("signal daemon=" + daemon + " " + signal);
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  /** Waits until all daemons report that they are ready. */
  boolean awaitReady(long seconds) throws InterruptedException {
    long end = System.nanoTime() + seconds * 1_000_000_000;
    for (int daemon : daemons.keySet()) {
      while (!isReady(daemon)) {
        if (System.nanoTime() > end) {
          return false;
        }
        Thread.sleep(100);
      }
    }
    return true;
  }

  boolean isReady(int daemon) {
    try {
      return Http.call(host(daemon), readyPort, "GET", "/v1/ready", Map.of(), new byte[0], 1_000).status == 200;
    } catch (IOException e) {
      return false;
    }
  }

  Http.Answer call(int daemon, String method, String path, Map<String, String> headers, byte[] body, int timeoutMs)
      throws IOException {
    Map<String, String> all = new LinkedHashMap<>();
    all.put("Host", HOST);
    all.putAll(headers);
    log.line("sent " + method + " " + path + " daemon=" + daemon + " bytes=" + body.length);
    Http.Answer answer = Http.call(host(daemon), frontPort, method, path, all, body, timeoutMs);
    log.line("answered " + method + " " + path + " daemon=" + daemon + " status=" + answer.status + " bytes=" + answer.body.length);
    return answer;
  }

  private void killAll() {
    isClosing = true;
    daemons.values().forEach(Process::destroyForcibly);
  }

  @Override
  public void close() {
    killAll();
    daemons.values().forEach(process -> {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
    replicas.forEach(Replica::stop);
    store.stop();
    timers.shutdownNow();
    if (System.getenv("KEEP") == null) {
      try (var files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
        Files.delete(folder);
      } catch (IOException e) {
        log.line("the temporary folder was not removed: " + e);
      }
    }
    log.close();
  }
}
