import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A batch job within the limit on bodies that is never answered, and what it leaves behind. */
final class LargeJobCase {
  private static final String JOB = "5b1e09b52d6a3f80";
  private static final int TIMEOUT_MS = 10_000;
  private static final int ITEM_BYTES = 148_000;
  private static final int SMALL_ITEM_BYTES = 74_000;

  public static void main(String[] arguments) throws Exception {
    Lab lab = new Lab(Path.of(arguments[0]));
    List<Object> routes = Lab.routes();
    routes.add(
        Json.of(
            "name", "r-desk", "host", Lab.HOST, "prefix", "/desk/", "kind", "idempotent",
            "timeoutMs", 1000L, "goalMs", 185L, "priority", 2L, "service", "desk", "attempts", 2L));
    lab.putConfig(Lab.config(7, routes));
    lab.addEngine("i-aaaa0001", "zone-a");
    addDesk(lab);
    Daemon first = lab.addDaemon("edge-a-1", "zone-a");
    Daemon second = lab.addDaemon("edge-b-1", "zone-b");
    if (!lab.startAll()) {
      lab.end(Lab.NOT_RUN);
    }
    int servedBefore = lookUps(lab, first) + lookUps(lab, second);
    byte[] body = Lab.job(JOB, 20, 8, Lab.hasTrouble() ? ITEM_BYTES : SMALL_ITEM_BYTES);
    int late = 0;
    for (Daemon daemon : List.of(first, second)) {
      late += submit(lab, daemon, body) ? 0 : 1;
    }
    int served = lookUps(lab, first) + lookUps(lab, second);
    lab.record.add(
        "requests without an answer %d ms after they were sent: %d of 2; look-ups served before:"
            + " %d of 20, after: %d of 20; ready: %s %s",
        TIMEOUT_MS + 500, late, servedBefore, served, first.isReady(), second.isReady());
    lab.end(servedBefore < 20 ? Lab.NOT_RUN : late > 0 ? Lab.BROKEN : Lab.HELD);
  }

  private static boolean submit(Lab lab, Daemon daemon, byte[] body) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", Lab.HOST);
    headers.put("X-Amaranthstream-Request-Id", JOB);
    headers.put("X-Amaranthstream-Deadline-Ms", "12000");
    headers.put("Content-Type", "application/json");
    lab.record.add("client sends batch job %s of %d bytes to %s", JOB, body.length, daemon.name);
    Client.Answer answer =
        Client.send(daemon.front(), "POST", "/steps/" + JOB, headers, body, TIMEOUT_MS + 500);
    lab.record.add(
        "client gets %d from %s %s", answer.status(), daemon.name,
        answer.status() == 0 ? answer.headers() : answer.text());
    return answer.status() != 0;
  }

  private static void addDesk(Lab lab) throws IOException {
    Replica desk =
        new Replica(
            "i-bbbb0001", "desk", "", "zone-a", 6, "127.0.0.1", Lab.freePort("127.0.0.1"),
            lab.store, lab.record);
    desk.behaviour = LargeJobCase::answerLookUp;
  }

  private static boolean answerLookUp(HttpExchange exchange, Replica.Received received)
      throws IOException {
    String id = Replica.first(received, "X-Amaranthstream-Request-Id");
    exchange.getResponseHeaders().set("X-Amaranthstream-Request-Id", id);
    exchange.getResponseHeaders().set("X-Amaranthstream-Response-Seal", "seal-" + id);
    Replica.answer(exchange, 200, "in stock");
    return true;
  }

  /** Sends ten look-ups to a daemon and returns how many are served. */
  private static int lookUps(Lab lab, Daemon daemon) {
    int served = 0;
    for (int i = 0; i < 10; i++) {
      String id = String.format("%08x%08x", System.nanoTime() & 0xffffffffL, i);
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("Host", Lab.HOST);
      headers.put("X-Amaranthstream-Request-Id", id);
      headers.put("X-Amaranthstream-Deadline-Ms", "1000");
      Client.Answer answer =
          Client.send(
              daemon.front(), "POST", "/desk/2f", headers,
              "x".repeat(600).getBytes(StandardCharsets.US_ASCII), 1_500);
      served += answer.status() == 200 ? 1 : 0;
      lab.record.add(
          "client gets %d for look-up %s from %s %s", answer.status(), id, daemon.name,
          answer.text());
    }
    return served;
  }
}
