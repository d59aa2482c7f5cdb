import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound replica, as PROTOCOL.md describes it: it registers in the store, runs requests and items,
 * reports, and takes orders. An item's text has {@link #events} events.
 */
final class Replica {
  private static final AtomicLong SEAL = new AtomicLong();
  final String id;
  private final String service;
  private final String zone;
  private final String model;
  private final int slots;
  private final Store store;
  private final HttpServer server;
  private final long born = System.currentTimeMillis();
  private final AtomicInteger active = new AtomicInteger();
  private final ScheduledFuture<?> beat;
  private long beats;
  private long orders;
  private volatile long version = 1;
  volatile int events = 4;
  volatile long gapMs = 20;
  /** Time before the answer to a plain request. */
  volatile long workMs = 30;
  final Log log;

  Replica(String host, String id, String service, String zone, String model, int slots, Store store,
      ScheduledExecutorService timers, Log log) throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.model = model;
    this.slots = slots;
    this.store = store;
    this.log = log;
    server = HttpServer.create(new InetSocketAddress(host, 0), 256);
    server.setExecutor(Executors.newCachedThreadPool(r -> {
      Thread t = new Thread(r, "replica");
      t.setDaemon(true);
      return t;
    }));
    server.createContext("/", this::handle);
    server.start();
    beat = timers.scheduleAtFixedRate(this::register, 0, 1_200, TimeUnit.MILLISECONDS);
  }

  private synchronized void register() {
    beats++;
    String models = model == null ? "" : "\"models\":[{\"name\":\"" + model + "\",\"version\":" + version + ",\"adapters\":[]}],";
    store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\""
        + server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort()
        + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots
        + ",\"state\":\"ready\",\"coldLeftMs\":0,\"phase\":\"mixed\"," + models + "\"seq\":" + beats
        + ",\"born\":" + born + "}");
  }

  void stop() {
    beat.cancel(false);
    server.stop(0);
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    String path = exchange.getRequestURI().getPath();
    String expected = exchange.getRequestHeaders().getFirst("X-Amaranthstream-Expect-Instance");
    String request = exchange.getRequestHeaders().getFirst("X-Amaranthstream-Request-Id");
    if (request != null) {
      exchange.getResponseHeaders().set("X-Amaranthstream-Request-Id", request);
    }
    try {
      if (expected != null && !expected.equals(id)) {
        exchange.getResponseHeaders().set("X-Amaranthstream-Replica-Id", id);
        send(exchange, 421, "");
      } else if (path.equals("/v1/report")) {
        report(exchange);
      } else if (path.equals("/v1/order")) {
        order(exchange, Json.object(new String(body, StandardCharsets.UTF_8)));
      } else if (path.equals("/healthz")) {
        exchange.getResponseHeaders().set("X-Amaranthstream-Replica-Id", id);
        send(exchange, 200, "");
      } else if (request == null) {
        exchange.getResponseHeaders().set("X-Amaranthstream-Not-Run", "1");
        send(exchange, 400, "");
      } else if (active.incrementAndGet() > slots) {
        active.decrementAndGet();
        exchange.getResponseHeaders().set("X-Amaranthstream-Not-Run", "1");
        send(exchange, 503, "");
      } else {
        try {
          run(exchange, request, path, body);
        } finally {
          active.decrementAndGet();
        }
      }
    } catch (InterruptedException e) {
      exchange.close();
    }
  }

  private synchronized void report(HttpExchange exchange) throws IOException {
    send(exchange, 200, "{\"phase\":\"mixed\",\"models\":[{\"name\":\"" + model + "\",\"version\":" + version
        + ",\"adapters\":[]}],\"busy\":false,\"seq\":" + orders + ",\"queued\":0,\"active\":" + active.get()
        + ",\"kvUsed\":0,\"kvTotal\":90000,\"capabilities\":0}");
  }

  private synchronized void order(HttpExchange exchange, Map<String, Object> order) throws IOException {
    Object wanted = order.get("expected");
    if (wanted != null && (Long) wanted != orders) {
      send(exchange, 409, "");
      return;
    }
    long named = (Long) order.get("version");
    log.line("order replica=" + id + " version=" + named + " holder=" + order.get("holder") + " fence=" + order.get("fence"));
    if (named == version) {
      send(exchange, 200, "");
      return;
    }
    orders++;
    version = named;
    send(exchange, 202, "");
  }

  private void run(HttpExchange exchange, String request, String path, byte[] body)
      throws IOException, InterruptedException {
    exchange.getResponseHeaders().set("X-Amaranthstream-Response-Seal", id + "." + SEAL.incrementAndGet());
    if (exchange.getRequestHeaders().getFirst("X-Amaranthstream-Model") == null) {
      log.run(id, request, path, body.length);
      Thread.sleep(workMs);
      send(exchange, 200, "{\"served\":" + body.length + "}");
      return;
    }
    String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
    int from = last == null ? 0 : Integer.parseInt(last);
    log.run(id, request, path, body.length);
    exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
    exchange.getResponseHeaders().set("X-Amaranthstream-Weight-Versions", Long.toString(version));
    exchange.sendResponseHeaders(200, 0);
    try (OutputStream out = exchange.getResponseBody()) {
      for (int i = from + 1; i <= events; i++) {
        Thread.sleep(gapMs);
        out.write(("id: " + i + "\ndata: " + request + "-" + i + "\n\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
    }
    log.finished(request);
  }

  private static void send(HttpExchange exchange, int status, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      exchange.getResponseBody().write(bytes);
    }
    exchange.close();
  }
}
