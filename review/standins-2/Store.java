import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.Function;

/** Stand-in of the platform's metadata store: linearizable, loses nothing that it has answered. */
final class Store {
  /** What happens to a call. */
  enum Fate {
    /** The call is done and answered. */
    ANSWERED,
    /** The call is done and its answer is lost: nothing more comes on its connection. */
    ANSWER_LOST,
    /** The call is answered 503 and not done. */
    BUSY,
    /** The call is neither done nor answered. */
    SILENT,
    /** The call is not answered, and done {@link #LATE_MS} later if its condition still holds. */
    LATE
  }

  /** The time after which a late call is done. */
  static final long LATE_MS = 3_000;

  /** A call, as the disruption sees it. */
  static final class Call {
    final String caller;
    final String method;
    final String path;
    final String query;
    final String body;

    Call(String caller, String method, String path, String query, String body) {
      this.caller = caller;
      this.query = query;
      this.method = method;
      this.path = path;
      this.body = body;
    }
  }

  private static final class Item {
    String value;
    long rev;
    long created;
    long lease;
  }

  private static final class Lease {
    long ttlMs;
    long endNanos;
  }

  private record Event(String key, long rev, Map<String, Object> shown) {}

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision = 100;
  private long nextLease = 5000;
  volatile Function<Call, Fate> fate = call -> Fate.ANSWERED;

  Store() {
    Thread reaper = new Thread(this::reap);
    reaper.setDaemon(true);
    reaper.start();
  }

  /** Listens on an address of its own for the calls of one daemon, and returns the address. */
  String listenTo(String caller) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 512);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", exchange -> handle(caller, exchange));
    server.start();
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Writes an item in the name of the operator, a trainer or a replica. */
  synchronized long put(String key, String value) {
    revision++;
    set(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    notifyAll();
    return revision;
  }

  synchronized void delete(String key) {
    if (items.containsKey(key)) {
      revision++;
      drop(key);
      notifyAll();
    }
  }

  /** Returns the keys that begin with a prefix. */
  synchronized List<String> keys(String prefix) {
    List<String> keys = new ArrayList<>();
    items.tailMap(prefix).keySet().stream()
        .takeWhile(key -> key.startsWith(prefix))
        .forEach(keys::add);
    return keys;
  }

  private void set(String key, String value, long lease) {
    Item item = items.computeIfAbsent(key, unused -> new Item());
    if (item.created == 0) {
      item.created = revision;
    }
    item.value = value;
    item.rev = revision;
    item.lease = lease;
    history.add(new Event(key, revision, shown(key, item)));
  }

  private void drop(String key) {
    items.remove(key);
    history.add(new Event(key, revision, Json.of("key", key, "rev", revision, "deleted", true)));
  }

  private static Map<String, Object> shown(String key, Item item) {
    return Json.of(
        "key", key, "value", item.value, "rev", item.rev, "created", item.created, "lease",
        item.lease);
  }

  private void reap() {
    while (true) {
      synchronized (this) {
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        leases.forEach(
            (id, lease) -> {
              if (now - lease.endNanos >= 0) {
                ended.add(id);
              }
            });
        ended.forEach(this::endLease);
      }
      try {
        Thread.sleep(50);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void endLease(long id) {
    leases.remove(id);
    List<String> keys = new ArrayList<>();
    items.forEach(
        (key, item) -> {
          if (item.lease == id) {
            keys.add(key);
          }
        });
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::drop);
      notifyAll();
    }
  }

  private void handle(String caller, HttpExchange exchange) throws IOException {
    String body =
        new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.ISO_8859_1);
    String path = exchange.getRequestURI().getPath();
    String rawQuery = exchange.getRequestURI().getRawQuery();
    Fate decided =
        fate.apply(
            new Call(
                caller, exchange.getRequestMethod(), path, rawQuery == null ? "" : rawQuery, body));
    if (decided == Fate.BUSY) {
      answer(exchange, 503, Json.of());
      return;
    }
    if (decided == Fate.SILENT) {
      return;
    }
    Map<String, String> query = query(rawQuery);
    try {
      if (decided == Fate.LATE) {
        Thread.sleep(LATE_MS);
      }
      Object[] result = serve(exchange.getRequestMethod(), path, query, body);
      if (decided == Fate.ANSWERED) {
        answer(exchange, (int) result[0], result[1]);
      }
    } catch (InterruptedException e) {
      exchange.close();
    } catch (RuntimeException e) {
      answer(exchange, 400, Json.of("error", e.toString()));
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    if (raw != null) {
      for (String pair : raw.split("&")) {
        int equals = pair.indexOf('=');
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  private static void answer(HttpExchange exchange, int status, Object body) throws IOException {
    byte[] bytes = Json.write(body).getBytes(StandardCharsets.ISO_8859_1);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private Object[] serve(String method, String path, Map<String, String> query, String body)
      throws InterruptedException {
    if (path.equals("/v1/kv-key")) {
      return key(query.get("key"));
    } else if (path.equals("/v1/kv-range")) {
      return range(query.get("prefix"), query.getOrDefault("after", ""));
    } else if (path.equals("/v1/kv-watch")) {
      return watch(
          query.get("prefix"),
          Long.parseLong(query.get("after")),
          Long.parseLong(query.get("waitMs")));
    } else if (path.equals("/v1/kv-txn")) {
      return transact(Json.object(body));
    } else if (path.equals("/v1/kv-lease")) {
      return grant((Long) Json.object(body).get("ttlMs"));
    }
    long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    return path.startsWith("/v1/kv-keep/") ? keep(id) : end(id);
  }

  private synchronized Object[] key(String key) {
    Item item = items.get(key);
    if (item == null) {
      return new Object[] {404, Json.of()};
    }
    Map<String, Object> shown = shown(key, item);
    shown.put("at", revision);
    return new Object[] {200, shown};
  }

  private synchronized Object[] range(String prefix, String after) {
    List<Object> page = new ArrayList<>();
    boolean hasMore = false;
    long bytes = 0;
    for (Map.Entry<String, Item> entry : items.tailMap(prefix).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (entry.getKey().compareTo(after) <= 0) {
        continue;
      }
      if (page.size() == 500 || bytes > 1_000_000) {
        hasMore = true;
        break;
      }
      page.add(shown(entry.getKey(), entry.getValue()));
      bytes += entry.getValue().value.length();
    }
    return new Object[] {200, Json.of("items", page, "hasMore", hasMore, "at", revision)};
  }

  private synchronized Object[] watch(String prefix, long after, long waitMs)
      throws InterruptedException {
    long end = System.nanoTime() + waitMs * 1_000_000;
    while (true) {
      List<Object> events = new ArrayList<>();
      for (int i = history.size() - 1; i >= 0 && history.get(i).rev() > after; i--) {
        if (history.get(i).key().startsWith(prefix)) {
          events.add(0, history.get(i).shown());
        }
      }
      long left = (end - System.nanoTime()) / 1_000_000;
      if (!events.isEmpty() || left <= 0) {
        return new Object[] {200, Json.of("events", events, "at", revision)};
      }
      wait(left);
    }
  }

  @SuppressWarnings("unchecked")
  private synchronized Object[] transact(Map<String, Object> call) {
    List<Map<String, Object>> expected = (List<Map<String, Object>>) (List<?>) list(call, "expected");
    List<Map<String, Object>> sets = (List<Map<String, Object>>) (List<?>) list(call, "setKeys");
    boolean holds = true;
    List<Object> current = new ArrayList<>();
    for (Map<String, Object> row : expected) {
      Item item = items.get((String) row.get("key"));
      holds &= (Long) row.get("rev") == (item == null ? 0 : item.rev);
      current.add(
          item == null
              ? Json.of("key", row.get("key"), "rev", 0L)
              : shown((String) row.get("key"), item));
    }
    if (!holds) {
      return new Object[] {412, Json.of("items", current)};
    }
    for (Map<String, Object> set : sets) {
      long lease = set.get("lease") == null ? 0 : (Long) set.get("lease");
      if (lease != 0 && !leases.containsKey(lease)) {
        return new Object[] {404, Json.of()};
      }
    }
    revision++;
    for (Map<String, Object> set : sets) {
      long lease = set.get("lease") == null ? 0 : (Long) set.get("lease");
      set((String) set.get("key"), (String) set.get("value"), lease);
    }
    for (Object key : list(call, "remove")) {
      if (items.containsKey((String) key)) {
        drop((String) key);
      }
    }
    notifyAll();
    return new Object[] {200, Json.of("rev", revision)};
  }

  @SuppressWarnings("unchecked")
  private static List<Object> list(Map<String, Object> call, String name) {
    Object value = call.get(name);
    return value == null ? List.of() : (List<Object>) value;
  }

  private synchronized Object[] grant(long ttlMs) {
    Lease lease = new Lease();
    lease.ttlMs = ttlMs;
    lease.endNanos = System.nanoTime() + ttlMs * 1_000_000;
    leases.put(++nextLease, lease);
    return new Object[] {200, Json.of("lease", nextLease, "ttlMs", ttlMs)};
  }

  private synchronized Object[] keep(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return new Object[] {404, Json.of()};
    }
    lease.endNanos = System.nanoTime() + lease.ttlMs * 1_000_000;
    return new Object[] {200, Json.of("lease", id, "ttlMs", lease.ttlMs)};
  }

  private synchronized Object[] end(long id) {
    boolean isKnown = leases.containsKey(id);
    endLease(id);
    return new Object[] {isKnown ? 200 : 404, Json.of()};
  }
}
