import java.io.File;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment: the store, and the project's daemons as processes that are started with the
 * command of the deploy file. Each daemon has a loopback address of its own.
 */
final class Deployment {
  /** A daemon: its address, its process and its place. */
  static final class Daemon {
    final String name;
    final String host;
    final String zone;
    Process process;

    Daemon(String name, String host, String zone) {
      this.name = name;
      this.host = host;
      this.zone = zone;
    }
  }

  static final String ROUTE_HOST = "review.example";
  private static final int MAX_LOG_LINES = 40;
  final Store store = new Store();
  final List<Daemon> daemons = new ArrayList<>();
  final int front;
  private final int ready;
  private final int peer;
  private final Path folder;
  private final Map<String, Integer> storePorts = new LinkedHashMap<>();

  Deployment(int count) throws Exception {
    folder = Files.createTempDirectory("review");
    String[] zones = {"zone-a", "zone-b", "zone-c"};
    for (int i = 0; i < count; i++) {
      daemons.add(new Daemon("edge-" + (i + 1), "127.0.7." + (11 + i), zones[i % zones.length]));
    }
    front = freePort();
    ready = freePort();
    peer = freePort();
    Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
  }

  private int freePort() throws Exception {
    try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getByName("127.0.7.11"))) {
      return any.getLocalPort();
    }
  }

  /** Starts all daemons and waits until each is ready. */
  void start() throws Exception {
    for (Daemon daemon : daemons) {
      storePorts.put(daemon.name, store.listen("127.0.0.1", daemon.name));
      start(daemon);
    }
    for (Daemon daemon : daemons) {
      awaitReady(daemon);
    }
  }

  void start(Daemon daemon) throws Exception {
    Path settings = folder.resolve(daemon.name + ".yaml");
    Files.writeString(settings, settings(daemon));
    ProcessBuilder builder = new ProcessBuilder(command());
    Map<String, String> env = builder.environment();
    env.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    env.put("AMARANTHSTREAM_CONFIG", settings.toString());
    File log = folder.resolve(daemon.name + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    daemon.process = builder.start();
    Record.log("started " + daemon.name + " at " + daemon.host + ":" + front);
  }

  /** Returns the line "run" of the role "edge" in the deploy file, split at spaces. */
  private static List<String> command() throws Exception {
    boolean isEdge = false;
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("[")) {
        isEdge = line.trim().equals("[roles.edge]");
      } else if (isEdge && line.startsWith("run = ")) {
        String text = line.substring("run = ".length()).trim();
        return Arrays.asList(text.substring(1, text.length() - 1).split(" "));
      }
    }
    throw new IllegalStateException("deploy/system.toml has no role edge");
  }

  /** Returns the settings as the platform renders them from deploy/edge.yaml. */
  private String settings(Daemon daemon) throws Exception {
    String template = Files.readString(Path.of("deploy/edge.yaml"));
    template = template.replaceAll("(?s)\\{\\{#cloud.address\\}\\}.*\\{\\{/cloud.address\\}\\}\n", "");
    template =
        template.replaceAll(
            "(?s)\\{\\{#zones\\}\\}.*\\{\\{/zones\\}\\}\n",
            "  - { zone: \"zone-a\", region: \"r\" }\n"
                + "  - { zone: \"zone-b\", region: \"r\" }\n"
                + "  - { zone: \"zone-c\", region: \"r\" }\n");
    Map<String, String> values = new LinkedHashMap<>();
    values.put("nodeName", daemon.name);
    values.put("zone", daemon.zone);
    values.put("region", "r");
    values.put("bindIp", daemon.host);
    values.put("listenAddrs.front", daemon.host + ":" + front);
    values.put("listenAddrs.ready", daemon.host + ":" + ready);
    values.put("portRange.0", "" + peer);
    values.put("platform.address", "127.0.0.1:" + storePorts.get(daemon.name));
    values.put("bounds.leaseMs", "3000");
    values.put("limits.cpuShare", "0.75");
    values.put("limits.cpuCores", "1");
    for (Map.Entry<String, String> value : values.entrySet()) {
      template = template.replace("{{" + value.getKey() + "}}", value.getValue());
    }
    return template;
  }

  void awaitReady(Daemon daemon) throws Exception {
    for (int i = 0; i < 200; i++) {
      if (isReady(daemon)) {
        Record.log("ready " + daemon.name);
        return;
      }
      Thread.sleep(100);
    }
    throw new IllegalStateException(daemon.name + " did not become ready");
  }

  boolean isReady(Daemon daemon) {
    Http.Message reply =
        Http.call(daemon.host, ready, "GET /v1/ready", "Host: x\r\n", new byte[0], 1000);
    return reply != null && reply.status() == 200;
  }

  /** Sends a signal to a daemon; fails if it cannot be sent or a stop takes no effect. */
  void signal(Daemon daemon, String signal) throws Exception {
    int code = new ProcessBuilder("kill", "-" + signal, "" + daemon.process.pid()).start().waitFor();
    Record.log("signal " + signal + " to " + daemon.name);
    if (code != 0 || (signal.equals("STOP") && !isStopped(daemon))) {
      throw new IllegalStateException("signal " + signal + " had no effect on " + daemon.name);
    }
  }

  private static boolean isStopped(Daemon daemon) throws Exception {
    Path status = Path.of("/proc/" + daemon.process.pid() + "/status");
    for (int i = 0; i < 20; i++) {
      Thread.sleep(10);
      if (Files.readString(status).contains("State:\tT")) {
        return true;
      }
    }
    return false;
  }

  /** Prints the last lines of a daemon's log into the record. */
  void recordLog(Daemon daemon, String... words) throws Exception {
    int shown = 0;
    for (String line : Files.readAllLines(folder.resolve(daemon.name + ".log"))) {
      if (Arrays.stream(words).anyMatch(line::contains) && shown++ < MAX_LOG_LINES) {
        Record.log("log of " + daemon.name + ": " + line);
      }
    }
  }

  /** Sends a call to a daemon on a new connection and records it. */
  Http.Message call(Daemon daemon, String head, String headers, String body, int timeoutMs) {
    Record.log("send to " + daemon.name + ": " + head);
    Http.Message reply =
        Http.call(
            daemon.host,
            front,
            head,
            "Host: " + ROUTE_HOST + "\r\n" + headers,
            body.getBytes(),
            timeoutMs);
    String text = reply == null ? "no answer" : reply.status() + " " + shorten(reply.text());
    Record.log("answer of " + daemon.name + " to " + head + ": " + text);
    return reply;
  }

  private static String shorten(String text) {
    return text.length() > 200 ? text.substring(0, 200) + "... (" + text.length() + ")" : text;
  }

  private void stop() {
    for (Daemon daemon : daemons) {
      if (daemon.process != null) {
        daemon.process.destroyForcibly();
      }
    }
    try {
      for (Daemon daemon : daemons) {
        if (daemon.process != null) {
          daemon.process.waitFor(5, TimeUnit.SECONDS);
        }
      }
      if (System.getenv("KEEP_LOGS") == null) {
        for (File file : folder.toFile().listFiles()) {
          file.delete();
        }
        folder.toFile().delete();
      } else {
        System.err.println("logs in " + folder);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns a configuration with a batch route and, optionally, more routes. */
  static String config(long version, String routes) {
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + routes
        + "],\"services\":[{\"name\":\"llm\",\"healthPath\":\"/healthz\",\"maxConns\":150,"
        + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":4,\"kvCapacity\":97026,"
        + "\"kvTokenBytes\":35136,\"linkMbps\":1400000.0,\"migrations\":true,\"snapshots\":true,"
        + "\"stride\":57,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,"
        + "\"models\":[{\"name\":\"m1\"}]}},{\"name\":\"portal\",\"healthPath\":\"/healthz\","
        + "\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
        + "\"maxBodyBytes\":33554432,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
  }

  static final String BATCH_ROUTE =
      "{\"name\":\"r-batch\",\"host\":\""
          + ROUTE_HOST
          + "\",\"prefix\":\"/batch/\",\"kind\":\"rollout\",\"timeoutMs\":10000,\"goalMs\":500,"
          + "\"priority\":1,\"service\":\"llm\",\"attempts\":3,\"queueTtlS\":40.0,"
          + "\"runTargetMs\":7500,\"singleVersion\":false,\"sticky\":true,\"resumable\":true}";

  static final String PLAIN_ROUTE =
      "{\"name\":\"r-plain\",\"host\":\""
          + ROUTE_HOST
          + "\",\"prefix\":\"/plain/\",\"kind\":\"idempotent\",\"timeoutMs\":2500,\"goalMs\":185,"
          + "\"priority\":2,\"service\":\"portal\",\"attempts\":2}";

  /** Returns a batch job of {@code groups} groups of {@code size} items. */
  static String job(String id, int groups, int size, int bodyBytes) {
    return job(id, groups, size, bodyBytes, 1);
  }

  /** Returns a batch job whose items need at least version {@code minVersion} of the weights. */
  static String job(String id, int groups, int size, int bodyBytes, int minVersion) {
    StringBuilder items = new StringBuilder();
    String body = java.util.Base64.getEncoder().encodeToString(new byte[bodyBytes]);
    for (int i = 0; i < groups * size; i++) {
      items
          .append(i > 0 ? "," : "")
          .append("{\"id\":\"" + id + "i" + i + "\",\"path\":\"/batch/x/" + i + "\",\"headers\":{")
          .append("\"X-Amaranthstream-Model\":\"m1\",\"X-Amaranthstream-Token-Counts\":\"540,400\",")
          .append("\"X-Amaranthstream-Prompt-Prefix\":\"9c2e4" + i / size + ":540\"},\"body\":\"")
          .append(body + "\",\"tokens\":940,\"groupId\":\"" + id + "g" + i / size + "\"}");
    }
    return "{\"trainStep\":0,\"model\":\"m1\",\"minVersion\":"
        + minVersion
        + ",\"groupCount\":"
        + groups
        + ",\"items\":["
        + items
        + "]}";
  }
}
