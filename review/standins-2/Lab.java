import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small deployment: a store, replicas and daemons, all on loopback addresses. */
final class Lab {
  static final int BROKEN = 1;
  static final int HELD = 0;
  static final int NOT_RUN = 2;
  static final String HOST = "trainers.example";
  static final String MODEL = "m0";

  final Path folder;
  final Record record;
  final Store store;
  final List<Replica> replicas = new ArrayList<>();
  final List<Daemon> daemons = new ArrayList<>();

  Lab(Path recordFile) throws IOException {
    this.folder = Files.createTempDirectory("review-case");
    this.record = new Record(recordFile);
    this.store = new Store();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> daemons.forEach(Daemon::kill)));
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, thrown) -> {
          record.add("the case could not run: %s", thrown);
          System.exit(NOT_RUN);
        });
  }

  static boolean hasTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  static int freePort(String host) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
      return socket.getLocalPort();
    }
  }

  /** Returns the first of three free ports of a host. */
  static int freePorts(String host) throws IOException {
    while (true) {
      int port = freePort(host);
      try (ServerSocket second = new ServerSocket(port + 1, 1, InetAddress.getByName(host));
          ServerSocket third = new ServerSocket(port + 2, 1, InetAddress.getByName(host))) {
        return port;
      } catch (IOException e) {
        continue;
      }
    }
  }

  /** Returns the routes of the configuration: one for batch jobs, one idempotent. */
  static List<Object> routes() {
    List<Object> routes = new ArrayList<>();
    routes.add(
        Json.of(
            "name", "r-steps", "host", HOST, "prefix", "/steps/", "kind", "rollout", "timeoutMs",
            10000L, "goalMs", 500L, "priority", 1L, "service", "engines", "attempts", 3L,
            "queueTtlS", 40.0, "runTargetMs", 7500L, "singleVersion", false, "sticky", true,
            "resumable", true));
    return routes;
  }

  static Map<String, Object> config(long version, List<Object> routes) {
    return Json.of(
        "version", version, "routes", routes, "services",
        List.of(
            Json.of(
                "name", "engines", "healthPath", "/healthz", "maxConns", 170L, "protocol", "h1",
                "tls", false, "engine",
                Json.of(
                    "slots", 16L, "kvCapacity", 42260L, "kvTokenBytes", 35136L, "linkMbps",
                    1400000.0, "stride", 55L, "most", 12L, "models",
                    List.of(Json.of("name", MODEL)))),
            Json.of(
                "name", "desk", "healthPath", "/healthz", "maxConns", 100L, "protocol", "h1",
                "tls", false)),
        "limits",
        Json.of(
            "maxHeaderBytes", 16384L, "maxBodyBytes", 33554432L, "headerTimeoutMs", 3000L,
            "idleTimeoutMs", 15000L));
  }

  void putConfig(Map<String, Object> config) {
    store.put("op/config", Json.write(config));
  }

  Replica addEngine(String name, String zone) throws IOException {
    Replica replica =
        new Replica(
            name, "engines", MODEL, zone, 16, "127.0.0.1", freePort("127.0.0.1"), store, record);
    replicas.add(replica);
    return replica;
  }

  Daemon addDaemon(String name, String zone) throws IOException {
    String host = "127.0.0." + (10 + daemons.size());
    Daemon daemon =
        new Daemon(name, zone, host, freePorts(host), store.listenTo(name), folder, record);
    daemons.add(daemon);
    return daemon;
  }

  /** Starts all daemons and waits until they are ready and know each other. */
  boolean startAll() throws IOException, InterruptedException {
    for (Daemon daemon : daemons) {
      daemon.start();
    }
    for (Daemon daemon : daemons) {
      if (!daemon.awaitReady(20_000)) {
        record.add("daemon %s did not become ready", daemon.name);
        return false;
      }
    }
    Thread.sleep(4_000);
    return true;
  }

  /** Returns the body of a batch job. */
  static byte[] job(String id, int groups, int size, int bodyBytes) {
    return job(id, groups, size, bodyBytes, 1L);
  }

  static byte[] job(String id, int groups, int size, int bodyBytes, long minVersion) {
    List<Object> items = new ArrayList<>();
    byte[] body = new byte[bodyBytes];
    for (int group = 0; group < groups; group++) {
      for (int i = 0; i < size; i++) {
        new java.util.Random(group * 1000L + i).nextBytes(body);
        items.add(
            Json.of(
                "id", item(id, group, i), "path", "/steps/3/91c4", "headers",
                Json.of(
                    "X-Amaranthstream-Model", MODEL, "X-Amaranthstream-Token-Counts", "540,400",
                    "X-Amaranthstream-Prompt-Prefix", "9c2e41:300,5d07b8:240"),
                "body", Base64.getEncoder().encodeToString(body), "tokens", 940L, "groupId",
                "g" + id + group));
      }
    }
    return Json.write(
            Json.of(
                "trainStep", 0L, "model", MODEL, "minVersion", minVersion, "groupCount", (long) groups,
                "items", items))
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  static String item(String id, int group, int i) {
    return String.format("%s%02x%02x", id.substring(0, 12), group, i);
  }

  Client.Answer submit(Daemon daemon, String id, byte[] body, int deadlineMs) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", HOST);
    headers.put("X-Amaranthstream-Request-Id", id);
    headers.put("X-Amaranthstream-Deadline-Ms", Integer.toString(deadlineMs));
    headers.put("Content-Type", "application/json");
    record.add(
        "client sends batch job %s of %d bytes to %s", id, body.length, daemon.name);
    Client.Answer answer =
        Client.send(daemon.front(), "POST", "/steps/" + id, headers, body, deadlineMs);
    record.add(
        "client gets %d for batch job %s from %s, Retry-After %s, %s",
        answer.status(), id, daemon.name, answer.headers().get("Retry-After"), text(answer));
    return answer;
  }

  Client.Answer delete(Daemon daemon, String path) {
    record.add("client sends DELETE %s to %s", path, daemon.name);
    Client.Answer answer =
        Client.send(daemon.front(), "DELETE", path, Map.of("Host", HOST), new byte[0], 5_000);
    record.add("client gets %d for DELETE %s from %s", answer.status(), path, daemon.name);
    return answer;
  }

  Client.Answer get(Daemon daemon, String path, Map<String, String> more) {
    Map<String, String> headers = new LinkedHashMap<>(more);
    headers.put("Host", HOST);
    return Client.send(daemon.front(), "GET", path, headers, new byte[0], 4_000);
  }

  private static String text(Client.Answer answer) {
    String text = answer.status() == 0 ? answer.headers().get("error") : answer.text();
    return text.length() > 200 ? text.substring(0, 200) : text;
  }

  /** Returns the runs of items whose id begins with the text. */
  List<Replica.Run> runsOf(String prefix) {
    List<Replica.Run> runs = new ArrayList<>();
    replicas.forEach(
        replica ->
            replica.runs.stream().filter(run -> run.id().startsWith(prefix)).forEach(runs::add));
    return runs;
  }

  /** Ends all processes, and ends this one with the result. */
  void end(int result) {
    daemons.forEach(Daemon::kill);
    record.add(
        "%s",
        result == BROKEN ? "the rule was broken" : result == HELD ? "the rule held" : "not run");
    System.exit(result);
  }
}
