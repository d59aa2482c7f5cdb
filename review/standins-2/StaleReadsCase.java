import java.nio.file.Path;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A former owner of a batch job that goes on to answer reads from what it has. */
final class StaleReadsCase {
  private static final String JOB = "3e41e09b52d6a3f8";
  private static final int DAEMONS = 5;
  private static final int STREAMS = 32;
  private static final int STREAM_EVENTS = 400;
  private static final long STREAM_EVENT_MS = 100;
  private static final int ITEMS = 16;
  private static final long FREEZE_MS = 3_500;
  private static final long CONTACT_MS = 3_000;
  private static final long SETTLE_MS = 1_000;

  public static void main(String[] arguments) throws Exception {
    Lab lab = new Lab(Path.of(arguments[0]));
    List<Object> routes = Lab.routes();
    routes.add(
        Json.of(
            "name", "r-live", "host", Lab.HOST, "prefix", "/live/", "kind", "streaming",
            "timeoutMs", 60000L, "goalMs", 500L, "priority", 2L, "service", "engines", "attempts",
            1L, "resumable", false, "sticky", true));
    lab.putConfig(Lab.config(7, routes));
    for (int i = 1; i <= 2; i++) {
      Replica engine = lab.addEngine("i-aaaa000" + i, "zone-a");
      engine.behaviour =
          (exchange, received) -> {
            if (!received.path().startsWith("/live/")) {
              return false;
            }
            engine.run(exchange, received, STREAM_EVENTS, STREAM_EVENT_MS);
            return true;
          };
    }
    for (int i = 1; i <= DAEMONS; i++) {
      lab.addDaemon("edge-a-" + i, "zone-a");
    }
    if (!lab.startAll()) {
      lab.end(Lab.NOT_RUN);
    }
    Daemon frozen = daemonThatReadsNoOwners(lab);
    startStreams(lab, frozen);
    Thread.sleep(1_500);
    byte[] body = Lab.job(JOB, 2, ITEMS / 2, 60);
    if (lab.submit(frozen, JOB, body, 12_000).status() != 202) {
      lab.end(Lab.NOT_RUN);
    }
    Thread.sleep(500);
    if (Lab.hasTrouble()) {
      freeze(lab, frozen);
    }
    long woken = System.nanoTime();
    Thread.sleep(CONTACT_MS);
    lab.end(judge(lab, frozen, woken) ? Lab.BROKEN : Lab.HELD);
  }

  /** Reads the job at all daemons; true if the one that stood still lacks what others have shown. */
  private static boolean judge(Lab lab, Daemon frozen, long woken) throws InterruptedException {
    long shown = 0;
    int missing = 0;
    for (int round = 0; round < 12; round++) {
      for (Daemon daemon : lab.daemons) {
        Client.Answer answer = lab.get(daemon, "/v1/lots/" + JOB + "?after=0", Map.of());
        int results = answer.status() == 200 ? results(answer) : -1;
        lab.record.add("client reads %d results of the job at %s", results, daemon.name);
        long now = System.nanoTime();
        if (results == ITEMS && shown == 0) {
          shown = now;
        }
        boolean isInTouch = now - woken > CONTACT_MS * 1_000_000;
        boolean isSettled = shown != 0 && now - shown > SETTLE_MS * 1_000_000;
        if (isInTouch && isSettled && results >= 0 && results < ITEMS) {
          missing++;
        }
      }
      Thread.sleep(400);
    }
    lab.record.add(
        "reads that lacked a result, later than %d ms after it was read: %d", SETTLE_MS, missing);
    return missing > 0;
  }

  private static int results(Client.Answer answer) {
    return ((List<?>) Json.object(answer.text()).get("outputs")).size();
  }

  /** Starts as many streams of callers as the engines have slots. */
  private static void startStreams(Lab lab, Daemon daemon) {
    lab.record.add("%d callers open streams at %s", STREAMS, daemon.name);
    for (int i = 0; i < STREAMS; i++) {
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("Host", Lab.HOST);
      headers.put("X-Amaranthstream-Request-Id", String.format("77aa%012x", i));
      headers.put("X-Amaranthstream-Deadline-Ms", "60000");
      headers.put("X-Amaranthstream-Model", Lab.MODEL);
      headers.put("X-Amaranthstream-Token-Counts", "540,400");
      Thread caller =
          new Thread(
              () -> Client.send(daemon.front(), "POST", "/live/1", headers, new byte[60], 60_000));
      caller.setDaemon(true);
      caller.start();
    }
  }

  /** Returns a daemon that doesn't list the owners of all jobs every few seconds. */
  private static Daemon daemonThatReadsNoOwners(Lab lab) throws InterruptedException {
    Set<String> readers = new HashSet<>();
    lab.store.fate =
        call -> {
          if (call.path.equals("/v1/kv-range") && call.query.contains("owners")) {
            synchronized (readers) {
              readers.add(call.caller);
            }
          }
          return Store.Fate.ANSWERED;
        };
    Thread.sleep(11_000);
    lab.store.fate = call -> Store.Fate.ANSWERED;
    lab.record.add("daemons that list the owners of all jobs: %s", readers);
    return lab.daemons.stream()
        .filter(daemon -> !readers.contains(daemon.name))
        .findFirst()
        .orElse(lab.daemons.get(0));
  }

  /** Freezes a daemon right after it has renewed its lease; the takeover of its job is late. */
  private static void freeze(Lab lab, Daemon frozen) throws Exception {
    boolean[] isRenewed = new boolean[1];
    boolean[] isLate = new boolean[1];
    lab.store.fate =
        call -> {
          if (call.caller.equals(frozen.name) && call.path.startsWith("/v1/kv-keep/")) {
            isRenewed[0] = true;
          }
          boolean isTakeover =
              call.path.equals("/v1/kv-txn")
                  && !call.caller.equals(frozen.name)
                  && call.body.contains("amaranthstream/owners/" + JOB);
          if (isTakeover && !isLate[0]) {
            isLate[0] = true;
            lab.record.add(
                "store gets a write of the owner of %s from %s; it is done late", JOB, call.caller);
            return Store.Fate.LATE;
          }
          return Store.Fate.ANSWERED;
        };
    while (!isRenewed[0]) {
      Thread.sleep(5);
    }
    Thread.sleep(100);
    frozen.signal("STOP");
    Thread.sleep(FREEZE_MS);
    frozen.signal("CONT");
  }
}
