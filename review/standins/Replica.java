import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of a replica: registers itself in the store, runs plain requests and streams of events,
 * and records each request that begins to run. It is sound: it checks the expected instance, echoes
 * the request ID, and drops a request when its connection closes.
 */
final class Replica {
  private static final int HEARTBEAT_MS = 1200;
  private static final int QUEUE = 36;
  private static final int LOAD_MS = 900;

  /** A request that began to run. */
  static final class Run {
    final String id;
    final String replica;
    final long arrivedMs;
    final long startedMs;
    final String lastEvent;
    final Http.Message request;

    Run(String id, String replica, long arrivedMs, Http.Message request) {
      this.id = id;
      this.replica = replica;
      this.arrivedMs = arrivedMs;
      this.startedMs = Record.now();
      this.lastEvent = request.headers.getOrDefault("last-event-id", "");
      this.request = request;
    }

    @Override
    public String toString() {
      return "at "
          + replica
          + ": "
          + id
          + " arrived "
          + arrivedMs
          + " began "
          + startedMs
          + (lastEvent.isEmpty() ? "" : " after event " + lastEvent);
    }
  }

  final String id;
  final int port;
  final List<Run> runs = new ArrayList<>();
  private final Store store;
  private final String host;
  private final String service;
  private final String zone;
  private final int slots;
  private final long born;
  private final Semaphore free;
  private final AtomicInteger waiting = new AtomicInteger();
  private long seq = 1;
  private volatile int version = 1;
  private long orders;
  private volatile boolean isLoading;

  /** The events of a stream, their interval, and the bytes of each. */
  volatile int events = 100;

  volatile int eventMs = 100;
  volatile int eventBytes = 60;

  /** The numbers of events of items by the number at the end of their path, in turn; may be empty. */
  volatile int[] eventsByItem = {};

  /** The time that a plain request takes, and the bytes of its answer. */
  volatile int workMs = 30;

  volatile int answerBytes = 800;

  Replica(Store store, String id, String host, String service, String zone, int slots)
      throws Exception {
    this.store = store;
    this.id = id;
    this.host = host;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.free = new Semaphore(slots, true);
    ServerSocket socket = Http.serve(host, 0, this::handle);
    this.port = socket.getLocalPort();
    this.born = System.currentTimeMillis();
    Http.daemon(
        () -> {
          while (true) {
            register();
            Thread.sleep(HEARTBEAT_MS);
          }
        });
  }

  private synchronized void register() {
    store.put("servers/" + id, entry());
    seq++;
  }

  private String entry() {
    return "{\"service\":\""
        + service
        + "\",\"address\":\""
        + host
        + ":"
        + port
        + "\",\"zone\":\""
        + zone
        + "\",\"version\":\"v1\",\"slots\":"
        + slots
        + ",\"state\":\"ready\",\"coldLeftMs\":0,\"phase\":\"mixed\",\"models\":[{\"name\":\"m1\","
        + "\"version\":"
        + version
        + ",\"adapters\":[]}],\"seq\":"
        + seq
        + ",\"born\":"
        + born
        + "}";
  }

  List<Run> runs() {
    synchronized (runs) {
      return List.copyOf(runs);
    }
  }

  private void handle(Http.Connection connection, Http.Message request) throws Exception {
    long arrivedMs = Record.now();
    Map<String, String> headers = request.headers;
    String requestId = headers.getOrDefault("x-amaranthstream-request-id", "");
    String echo = requestId.isEmpty() ? "" : "X-Amaranthstream-Request-Id: " + requestId + "\r\n";
    String expected = headers.get("x-amaranthstream-expect-instance");
    if (expected != null && !expected.equals(id)) {
      connection.send(
          421,
          echo + "X-Amaranthstream-Not-Run: 1\r\nX-Amaranthstream-Replica-Id: " + id + "\r\n",
          new byte[0]);
      return;
    }
    if (request.path().equals("/v1/report")) {
      String json =
          "{\"phase\":\"mixed\",\"models\":[{\"name\":\"m1\",\"version\":"
              + version
              + ",\"adapters\":[]}],\"busy\":"
              + isLoading
              + ",\"seq\":"
              + orders
              + ",\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":90000,\"capabilities\":0}";
      connection.send(200, "Content-Type: application/json\r\n", json.getBytes());
      return;
    }
    if (request.path().equals("/v1/order")) {
      order(connection, Json.object(request.text()));
      return;
    }
    if (request.path().equals("/healthz")) {
      connection.send(200, "X-Amaranthstream-Replica-Id: " + id + "\r\n", new byte[0]);
      return;
    }
    if (requestId.isEmpty()) {
      connection.send(400, "X-Amaranthstream-Not-Run: 1\r\n", new byte[0]);
      return;
    }
    if (isLoading) {
      connection.send(503, echo + "X-Amaranthstream-Not-Run: 1\r\n", new byte[0]);
      return;
    }
    if (waiting.incrementAndGet() > QUEUE + slots) {
      waiting.decrementAndGet();
      connection.send(503, echo + "X-Amaranthstream-Not-Run: 1\r\n", new byte[0]);
      return;
    }
    while (!free.tryAcquire(20, java.util.concurrent.TimeUnit.MILLISECONDS)) {
      if (connection.isClosed) {
        waiting.decrementAndGet();
        return;
      }
    }
    try {
      run(connection, request, requestId, echo, arrivedMs);
    } finally {
      free.release();
      waiting.decrementAndGet();
    }
  }

  /** Loads another version of the weights, during which no request starts. */
  private synchronized void order(Http.Connection connection, Map<String, Object> order)
      throws Exception {
    int ordered = ((Long) order.get("version")).intValue();
    Object expected = order.get("expected");
    Record.log("order at " + id + ": version " + ordered + " from " + order.get("holder"));
    if (isLoading || (expected != null && (Long) expected != orders)) {
      connection.send(409, "", new byte[0]);
    } else if (ordered == version) {
      connection.send(200, "", new byte[0]);
    } else {
      orders++;
      isLoading = true;
      Http.daemon(
          () -> {
            Thread.sleep(LOAD_MS);
            version = ordered;
            isLoading = false;
            register();
          });
      connection.send(202, "", new byte[0]);
    }
  }

  private void run(
      Http.Connection connection, Http.Message request, String requestId, String echo, long arrived)
      throws Exception {
    if (connection.isClosed) {
      return;
    }
    synchronized (runs) {
      runs.add(new Run(requestId, id, arrived, request));
    }
    boolean isStream = request.headers.containsKey("x-amaranthstream-token-counts");
    if (isStream) {
      stream(connection, request, echo);
      return;
    }
    Thread.sleep(workMs);
    byte[] body = new byte[answerBytes];
    java.util.Arrays.fill(body, (byte) 'a');
    connection.send(200, echo + "X-Amaranthstream-Response-Seal: s." + requestId + "\r\n", body);
  }

  private void stream(Http.Connection connection, Http.Message request, String echo)
      throws Exception {
    connection.raw(
        "HTTP/1.1 200 OK\r\n"
            + echo
            + "X-Amaranthstream-Response-Seal: s\r\nX-Amaranthstream-Weight-Versions: "
            + version
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    int from = Integer.parseInt(request.headers.getOrDefault("last-event-id", "0")) + 1;
    String padding = "x".repeat(eventBytes);
    int last = eventsOf(request);
    for (int event = from; event <= last; event++) {
      Thread.sleep(eventMs);
      if (connection.isClosed) {
        throw new java.io.IOException("dropped");
      }
      String text = "id: " + event + "\ndata: e" + event + " " + padding + "\n\n";
      connection.raw(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
    connection.raw("0\r\n\r\n");
  }

  private int eventsOf(Http.Message request) {
    if (eventsByItem.length == 0) {
      return events;
    }
    String path = request.path();
    int item = Integer.parseInt(path.substring(path.lastIndexOf('/') + 1));
    return eventsByItem[item % eventsByItem.length];
  }
}
