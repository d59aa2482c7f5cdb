import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * The platform's metadata store, as PROTOCOL.md describes it: linearizable, with transactions,
 * leases, pages and watches. It is sound: it loses nothing, and each answer arrives.
 */
final class Store {
  private static final int PAGE_ITEMS = 500;
  private static final int PAGE_BYTES = 1_000_000;

  record Item(String key, String value, long rev, long created, long lease) {
    String json() {
      return "{\"key\":" + Json.quote(key) + ",\"value\":\"" + value + "\",\"rev\":" + rev
          + ",\"created\":" + created + ",\"lease\":" + lease + "}";
    }
  }

  private record Event(long rev, String key, Item item) {}

  private static final class Lease {
    long ttl;
    long endNanos;
  }

  private final HttpServer server;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision = 1;
  private long nextLease = 1;
  /** Delay of each answer, in milliseconds. */
  volatile long answerMs = 4;

  Store(String host) throws IOException {
    server = HttpServer.create(new InetSocketAddress(host, 0), 1024);
    server.setExecutor(Executors.newCachedThreadPool(r -> {
      Thread t = new Thread(r, "store");
      t.setDaemon(true);
      return t;
    }));
    server.createContext("/", this::handle);
    server.start();
    Thread expiry = new Thread(this::expire, "leases");
    expiry.setDaemon(true);
    expiry.start();
  }

  String address() {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  void stop() {
    server.stop(0);
  }

  synchronized long put(String key, String text) {
    revision++;
    write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
    notifyAll();
    return revision;
  }

  synchronized void delete(String key) {
    revision++;
    erase(key);
    notifyAll();
  }

  /** Returns the keys with a prefix, for the record. */
  synchronized List<String> keys(String prefix) {
    List<String> found = new ArrayList<>();
    for (String key : items.tailMap(prefix, true).keySet()) {
      if (!key.startsWith(prefix)) {
        break;
      }
      found.add(key);
    }
    return found;
  }

  private void write(String key, String value, long lease) {
    Item before = items.get(key);
    Item item = new Item(key, value, revision, before == null ? revision : before.created, lease);
    items.put(key, item);
    events.add(new Event(revision, key, item));
  }

  private void erase(String key) {
    if (items.remove(key) != null) {
      events.add(new Event(revision, key, null));
    }
  }

  private void expire() {
    while (true) {
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        return;
      }
      synchronized (this) {
        long now = System.nanoTime();
        for (Long id : List.copyOf(leases.keySet())) {
          if (now - leases.get(id).endNanos > 0) {
            endLease(id);
          }
        }
        if (events.size() > 20_000) {
          events.subList(0, 10_000).clear();
        }
      }
    }
  }

  private void endLease(long id) {
    leases.remove(id);
    List<String> gone = new ArrayList<>();
    items.values().forEach(item -> {
      if (item.lease == id) {
        gone.add(item.key);
      }
    });
    if (!gone.isEmpty()) {
      revision++;
      gone.forEach(this::erase);
      notifyAll();
    }
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> found = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    if (raw != null) {
      for (String part : raw.split("&")) {
        int eq = part.indexOf('=');
        found.put(part.substring(0, eq), URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
      }
    }
    return found;
  }

  private void handle(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.ISO_8859_1);
    String path = exchange.getRequestURI().getPath();
    Map<String, String> query = query(exchange);
    try {
      if (!path.equals("/v1/kv-watch")) {
        Thread.sleep(answerMs);
      }
      if (path.equals("/v1/kv-key")) {
        get(exchange, query.get("key"));
      } else if (path.equals("/v1/kv-range")) {
        range(exchange, query.get("prefix"), query.getOrDefault("after", ""));
      } else if (path.equals("/v1/kv-watch")) {
        watch(exchange, query.get("prefix"), Long.parseLong(query.get("after")), Long.parseLong(query.get("waitMs")));
      } else if (path.equals("/v1/kv-txn")) {
        transact(exchange, Json.object(body));
      } else if (path.equals("/v1/kv-lease")) {
        grant(exchange, (Long) Json.object(body).get("ttlMs"));
      } else if (path.startsWith("/v1/kv-keep/")) {
        keep(exchange, Long.parseLong(path.substring("/v1/kv-keep/".length())));
      } else if (path.startsWith("/v1/kv-lease-end/")) {
        end(exchange, Long.parseLong(path.substring("/v1/kv-lease-end/".length())));
      } else {
        reply(exchange, 400, "{}");
      }
    } catch (InterruptedException e) {
      exchange.close();
    } catch (RuntimeException e) {
      e.printStackTrace();
      reply(exchange, 400, "{}");
    }
  }

  private static void reply(HttpExchange exchange, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private void get(HttpExchange exchange, String key) throws IOException {
    Item item;
    long at;
    synchronized (this) {
      item = items.get(key);
      at = revision;
    }
    if (item == null) {
      reply(exchange, 404, "{\"at\":" + at + "}");
    } else {
      String json = item.json();
      reply(exchange, 200, json.substring(0, json.length() - 1) + ",\"at\":" + at + "}");
    }
  }

  private void range(HttpExchange exchange, String prefix, String after) throws IOException {
    StringBuilder out = new StringBuilder();
    boolean more = false;
    long at;
    synchronized (this) {
      at = revision;
      int count = 0;
      String from = after.compareTo(prefix) < 0 ? prefix : after;
      for (Item item : items.tailMap(from, true).values()) {
        if (item.key.equals(after)) {
          continue;
        }
        if (!item.key.startsWith(prefix)) {
          break;
        }
        if (count > 0 && (count >= PAGE_ITEMS || out.length() + item.value.length() > PAGE_BYTES)) {
          more = true;
          break;
        }
        out.append(count == 0 ? "" : ",").append(item.json());
        count++;
      }
    }
    reply(exchange, 200, "{\"items\":[" + out + "],\"hasMore\":" + more + ",\"at\":" + at + "}");
  }

  private void watch(HttpExchange exchange, String prefix, long after, long waitMs) throws IOException, InterruptedException {
    long deadline = System.nanoTime() + waitMs * 1_000_000;
    StringBuilder out = new StringBuilder();
    long at;
    synchronized (this) {
      while (true) {
        for (Event event : events) {
          if (event.rev > after && event.key.startsWith(prefix)) {
            out.append(out.length() == 0 ? "" : ",");
            out.append(event.item != null ? event.item.json()
                : "{\"key\":" + Json.quote(event.key) + ",\"rev\":" + event.rev + ",\"deleted\":true}");
          }
        }
        at = revision;
        long left = (deadline - System.nanoTime()) / 1_000_000;
        if (out.length() > 0 || left <= 0) {
          break;
        }
        wait(left);
      }
    }
    reply(exchange, 200, "{\"events\":[" + out + "],\"at\":" + at + "}");
  }

  @SuppressWarnings("unchecked")
  private void transact(HttpExchange exchange, Map<String, Object> body) throws IOException {
    int status = 200;
    String answer;
    synchronized (this) {
      boolean holds = true;
      StringBuilder current = new StringBuilder();
      for (Object each : (List<Object>) body.getOrDefault("expected", List.of())) {
        Map<String, Object> row = (Map<String, Object>) each;
        Item item = items.get((String) row.get("key"));
        long found = item == null ? 0 : item.rev;
        holds &= found == (Long) row.get("rev");
        if (item != null) {
          current.append(current.length() == 0 ? "" : ",").append(item.json());
        }
      }
      boolean leaseGone = false;
      for (Object each : (List<Object>) body.getOrDefault("setKeys", List.of())) {
        long lease = (Long) ((Map<String, Object>) each).getOrDefault("lease", 0L);
        leaseGone |= lease != 0 && !leases.containsKey(lease);
      }
      if (!holds) {
        status = 412;
        answer = "{\"items\":[" + current + "]}";
      } else if (leaseGone) {
        status = 404;
        answer = "{}";
      } else {
        revision++;
        for (Object each : (List<Object>) body.getOrDefault("setKeys", List.of())) {
          Map<String, Object> row = (Map<String, Object>) each;
          write((String) row.get("key"), (String) row.get("value"), (Long) row.getOrDefault("lease", 0L));
        }
        for (Object key : (List<Object>) body.getOrDefault("remove", List.of())) {
          erase((String) key);
        }
        answer = "{\"rev\":" + revision + "}";
        notifyAll();
      }
    }
    reply(exchange, status, answer);
  }

  private void grant(HttpExchange exchange, long ttl) throws IOException {
    long id;
    long applied = Math.max(1_000, ttl);
    synchronized (this) {
      id = nextLease++;
      Lease lease = new Lease();
      lease.ttl = applied;
      lease.endNanos = System.nanoTime() + applied * 1_000_000;
      leases.put(id, lease);
    }
    reply(exchange, 200, "{\"lease\":" + id + ",\"ttlMs\":" + applied + "}");
  }

  private void keep(HttpExchange exchange, long id) throws IOException {
    boolean known;
    synchronized (this) {
      Lease lease = leases.get(id);
      known = lease != null;
      if (known) {
        lease.endNanos = System.nanoTime() + lease.ttl * 1_000_000;
      }
    }
    reply(exchange, known ? 200 : 404, "{}");
  }

  private void end(HttpExchange exchange, long id) throws IOException {
    boolean known;
    synchronized (this) {
      known = leases.containsKey(id);
      endLease(id);
    }
    reply(exchange, known ? 200 : 404, "{}");
  }
}
