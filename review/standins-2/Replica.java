import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a replica: runs items and requests, and registers itself in the store. */
final class Replica {
  /** A request that this replica began to run. */
  record Run(String id, String path, long nanos) {}

  /** A request that the replica has received. */
  record Received(String method, String path, Headers headers, byte[] body) {}

  /** Takes over the answer to a request; returns false to have it run as usual. */
  interface Behaviour {
    boolean handle(HttpExchange exchange, Received received) throws IOException;
  }

  final String id;
  final List<Run> runs = new CopyOnWriteArrayList<>();
  volatile Behaviour behaviour = (exchange, received) -> false;
  volatile int events = 5;
  volatile long eventMillis = 20;
  volatile boolean isBeating = true;
  private final Store store;
  private final Record record;
  private final HttpServer server;
  private final String service;
  private final String model;
  private final String zone;
  private final int slots;
  private final long born = System.currentTimeMillis();
  private final AtomicInteger beats = new AtomicInteger();
  volatile String state = "ready";
  volatile long version = 1;
  private volatile boolean isBusy;
  private final AtomicInteger orders = new AtomicInteger();

  Replica(
      String id,
      String service,
      String model,
      String zone,
      int slots,
      String host,
      int port,
      Store store,
      Record record)
      throws IOException {
    this.id = id;
    this.service = service;
    this.model = model;
    this.zone = zone;
    this.slots = slots;
    this.store = store;
    this.record = record;
    this.server = HttpServer.create(new InetSocketAddress(host, port), 512);
    this.server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", this::handle);
    server.start();
    beat();
    Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            })
        .scheduleAtFixedRate(this::beat, 1200, 1200, TimeUnit.MILLISECONDS);
  }

  String address() {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  /** Writes the registration of this replica. */
  void beat() {
    if (!isBeating) {
      return;
    }
    List<Object> models =
        model.isEmpty()
            ? List.of()
            : List.of(Json.of("name", model, "version", version, "adapters", List.of()));
    Map<String, Object> entry =
        Json.of(
            "service", service, "address", address(), "zone", zone, "version", "v1", "slots",
            (long) slots, "state", state, "coldLeftMs", 0L, "phase", "mixed", "models", models,
            "seq", (long) beats.incrementAndGet(), "born", born);
    store.put("servers/" + id, Json.write(entry));
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    Received received =
        new Received(
            exchange.getRequestMethod(),
            exchange.getRequestURI().toString(),
            exchange.getRequestHeaders(),
            body);
    if (received.path().equals("/v1/report")) {
      answer(
          exchange,
          200,
          Json.write(
              Json.of(
                  "phase", "mixed", "models",
                  List.of(Json.of("name", model, "version", version, "adapters", List.of())), "busy",
                  false, "seq", 0L, "queued", 0L, "active", 0L, "kvUsed", 0L, "kvTotal", 90000L,
                  "capabilities", 0L)));
      return;
    }
    if (received.path().equals("/v1/order")) {
      order(exchange, Json.object(new String(body, StandardCharsets.UTF_8)));
      return;
    }
    String expected = first(received, "X-Amaranthstream-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      exchange.getResponseHeaders().set("X-Amaranthstream-Replica-Id", id);
      answer(exchange, 421, "");
      return;
    }
    if (behaviour.handle(exchange, received)) {
      return;
    }
    run(exchange, received);
  }

  private synchronized void order(HttpExchange exchange, Map<String, Object> order)
      throws IOException {
    long wanted = (Long) order.get("version");
    Object expected = order.get("expected");
    record.add("replica %s gets the order %s", id, order);
    if (wanted == version) {
      answer(exchange, 200, "");
    } else if (isBusy || (expected != null && (Long) expected != orders.get())) {
      answer(exchange, 409, "");
    } else {
      orders.incrementAndGet();
      isBusy = true;
      answer(exchange, 202, "");
      Thread load =
          new Thread(
              () -> {
                sleep(900);
                version = wanted;
                isBusy = false;
                beat();
              });
      load.setDaemon(true);
      load.start();
    }
  }

  static String first(Received received, String header) {
    return received.headers().getFirst(header);
  }

  /** Runs an item: a stream of events. */
  void run(HttpExchange exchange, Received received) throws IOException {
    run(exchange, received, events, eventMillis);
  }

  void run(HttpExchange exchange, Received received, int events, long eventMillis)
      throws IOException {
    String request = first(received, "X-Amaranthstream-Request-Id");
    runs.add(new Run(request, received.path(), System.nanoTime()));
    record.add("replica %s runs %s %s", id, request, received.path());
    Headers headers = exchange.getResponseHeaders();
    headers.set("X-Amaranthstream-Request-Id", request);
    headers.set("X-Amaranthstream-Response-Seal", "seal-" + id + "-" + request);
    headers.set("X-Amaranthstream-Weight-Versions", Long.toString(version));
    headers.set("Content-Type", "text/event-stream");
    String last = first(received, "Last-Event-Id");
    int from = last == null ? 0 : Integer.parseInt(last);
    exchange.sendResponseHeaders(200, 0);
    try (OutputStream out = exchange.getResponseBody()) {
      for (int event = from + 1; event <= events; event++) {
        sleep(eventMillis);
        out.write(
            ("id: " + event + "\ndata: text " + event + " of " + request + "\n\n")
                .getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
    } catch (IOException e) {
      record.add("replica %s: the connection of %s was closed", id, request);
    }
    exchange.close();
  }

  static void answer(HttpExchange exchange, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      exchange.getResponseBody().write(bytes);
    }
    exchange.close();
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
