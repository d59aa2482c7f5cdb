import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in of the platform's metadata store: items with revisions, watches, transactions and leases.
 * It is linearizable and loses nothing. Each daemon has a port of its own, so that the store can
 * turn single daemons away.
 */
final class Store {
  private static final int OPERATOR_LATENCY_MS = 4;

  private static final class Item {
    String key;
    String value;
    long rev;
    long created;
    long lease;
  }

  private static final class Lease {
    long ttlMs;
    long endNanos;
  }

  private static final class Event {
    String key;
    long rev;
    String json;
  }

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long rev = 100;
  private long nextLease = 5000;

  /** Daemons that get no answer, by the name of their port. */
  final Map<String, String> turnedAway = new ConcurrentHashMap<>();

  Store() {
    Http.daemon(
        () -> {
          while (true) {
            Thread.sleep(10);
            expire();
          }
        });
  }

  /** Opens a port for the daemon {@code name} and returns it. */
  int listen(String host, String name) throws Exception {
    return Http.serve(host, 0, (connection, request) -> handle(name, connection, request))
        .getLocalPort();
  }

  private synchronized void expire() {
    long now = System.nanoTime();
    List<Long> ended = new ArrayList<>();
    leases.forEach(
        (id, lease) -> {
          if (now - lease.endNanos >= 0) {
            ended.add(id);
          }
        });
    ended.forEach(this::end);
  }

  private synchronized boolean end(long id) {
    if (leases.remove(id) == null) {
      return false;
    }
    List<String> keys = new ArrayList<>();
    items.values().stream().filter(item -> item.lease == id).forEach(item -> keys.add(item.key));
    if (!keys.isEmpty()) {
      rev++;
      keys.forEach(this::removeAt);
      notifyAll();
    }
    return true;
  }

  private void removeAt(String key) {
    if (items.remove(key) != null) {
      Event event = new Event();
      event.key = key;
      event.rev = rev;
      event.json = "{\"key\":" + Json.quote(key) + ",\"rev\":" + rev + ",\"deleted\":true}";
      history.add(event);
    }
  }

  private void putAt(String key, String value, long lease) {
    Item old = items.get(key);
    Item item = new Item();
    item.key = key;
    item.value = value;
    item.rev = rev;
    item.created = old == null ? rev : old.created;
    item.lease = lease;
    items.put(key, item);
    Event event = new Event();
    event.key = key;
    event.rev = rev;
    event.json = json(item);
    history.add(event);
  }

  private static String json(Item item) {
    return fields(item) + "}";
  }

  private static String fields(Item item) {
    return "{\"key\":"
        + Json.quote(item.key)
        + ",\"value\":\""
        + item.value
        + "\",\"rev\":"
        + item.rev
        + ",\"created\":"
        + item.created
        + ",\"lease\":"
        + item.lease;
  }

  /** Writes a key in place of the operator, a trainer or a replica. */
  synchronized void put(String key, String text) {
    rev++;
    putAt(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
    notifyAll();
  }

  /** Removes a key in place of a replica. */
  synchronized void remove(String key) {
    rev++;
    removeAt(key);
    notifyAll();
  }

  /** Returns the text of a key, null if it does not exist. */
  synchronized String get(String key) {
    Item item = items.get(key);
    return item == null
        ? null
        : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
  }

  private void handle(String name, Http.Connection connection, Http.Message request)
      throws Exception {
    String how = turnedAway.get(name);
    if (how != null) {
      if (how.equals("busy")) {
        connection.send(503, "", new byte[0]);
      } else if (how.equals("reset")) {
        connection.socket.setSoLinger(true, 0);
        connection.close();
      } else {
        Thread.sleep(60_000);
      }
      return;
    }
    Thread.sleep(OPERATOR_LATENCY_MS);
    String path = request.path();
    if (path.equals("/v1/kv-key")) {
      key(connection, request);
    } else if (path.equals("/v1/kv-range")) {
      range(connection, request);
    } else if (path.equals("/v1/kv-watch")) {
      watch(name, connection, request);
    } else if (path.equals("/v1/kv-txn")) {
      transact(connection, Json.object(request.text()));
    } else if (path.equals("/v1/kv-lease")) {
      grant(connection, Json.object(request.text()));
    } else if (path.startsWith("/v1/kv-keep/")) {
      keep(connection, Long.parseLong(path.substring("/v1/kv-keep/".length())));
    } else if (path.startsWith("/v1/kv-lease-end/")) {
      boolean isKnown = end(Long.parseLong(path.substring("/v1/kv-lease-end/".length())));
      reply(connection, isKnown ? 200 : 404, "{}");
    } else {
      reply(connection, 400, "{}");
    }
  }

  private static void reply(Http.Connection connection, int status, String json) throws Exception {
    connection.send(
        status, "Content-Type: application/json\r\n", json.getBytes(StandardCharsets.UTF_8));
  }

  private void key(Http.Connection connection, Http.Message request) throws Exception {
    String json;
    synchronized (this) {
      Item item = items.get(request.param("key"));
      json = item == null ? null : fields(item) + ",\"at\":" + rev + "}";
    }
    reply(connection, json == null ? 404 : 200, json == null ? "{}" : json);
  }

  private void range(Http.Connection connection, Http.Message request) throws Exception {
    String prefix = request.param("prefix");
    String after = request.param("after");
    StringBuilder out = new StringBuilder("{\"items\":[");
    boolean hasMore = false;
    synchronized (this) {
      int count = 0;
      for (Item item : items.tailMap(prefix).values()) {
        if (!item.key.startsWith(prefix)) {
          break;
        }
        if (item.key.compareTo(after) <= 0 && !after.isEmpty()) {
          continue;
        }
        if (count == 500 || out.length() > 1_000_000) {
          hasMore = true;
          break;
        }
        out.append(count > 0 ? "," : "").append(json(item));
        count++;
      }
      out.append("],\"hasMore\":").append(hasMore).append(",\"at\":").append(rev).append('}');
    }
    reply(connection, 200, out.toString());
  }

  private void watch(String name, Http.Connection connection, Http.Message request)
      throws Exception {
    String prefix = request.param("prefix");
    long after = Long.parseLong(request.param("after"));
    long end = System.nanoTime() + Long.parseLong(request.param("waitMs")) * 1_000_000;
    StringBuilder out = new StringBuilder();
    synchronized (this) {
      while (true) {
        boolean isFirst = true;
        out.setLength(0);
        for (Event event : history) {
          if (event.rev > after && event.key.startsWith(prefix)) {
            out.append(isFirst ? "" : ",").append(event.json);
            isFirst = false;
          }
        }
        long left = (end - System.nanoTime()) / 1_000_000;
        if (!isFirst || left <= 0 || connection.isClosed) {
          break;
        }
        wait(Math.min(left, 200));
      }
      out.insert(0, "{\"events\":[").append("],\"at\":").append(rev).append('}');
    }
    if (turnedAway.containsKey(name)) {
      handle(name, connection, request);
      return;
    }
    reply(connection, 200, out.toString());
  }

  @SuppressWarnings("unchecked")
  private void transact(Http.Connection connection, Map<String, Object> call) throws Exception {
    int status = 200;
    String json;
    synchronized (this) {
      List<Object> expected = (List<Object>) call.getOrDefault("expected", List.of());
      boolean holds = true;
      StringBuilder current = new StringBuilder("{\"items\":[");
      for (Object row : expected) {
        Map<String, Object> condition = (Map<String, Object>) row;
        Item item = items.get(condition.get("key"));
        long now = item == null ? 0 : item.rev;
        holds &= now == (Long) condition.get("rev");
        current
            .append(current.length() > 10 ? "," : "")
            .append(
                item == null
                    ? "{\"key\":" + Json.quote((String) condition.get("key")) + ",\"rev\":0}"
                    : json(item));
      }
      List<Object> puts = (List<Object>) call.getOrDefault("setKeys", List.of());
      boolean hasLeases = true;
      for (Object row : puts) {
        Long lease = (Long) ((Map<String, Object>) row).getOrDefault("lease", 0L);
        hasLeases &= lease == 0 || leases.containsKey(lease);
      }
      if (!holds) {
        status = 412;
        json = current.append("]}").toString();
      } else if (!hasLeases) {
        status = 404;
        json = "{}";
      } else {
        rev++;
        for (Object row : puts) {
          Map<String, Object> put = (Map<String, Object>) row;
          putAt(
              (String) put.get("key"),
              (String) put.get("value"),
              (Long) put.getOrDefault("lease", 0L));
        }
        for (Object key : (List<Object>) call.getOrDefault("remove", List.of())) {
          removeAt((String) key);
        }
        json = "{\"rev\":" + rev + "}";
        notifyAll();
      }
    }
    reply(connection, status, json);
  }

  private void grant(Http.Connection connection, Map<String, Object> call) throws Exception {
    long id;
    Lease lease = new Lease();
    synchronized (this) {
      id = nextLease++;
      lease.ttlMs = Math.max(1000, (Long) call.get("ttlMs"));
      lease.endNanos = System.nanoTime() + lease.ttlMs * 1_000_000;
      leases.put(id, lease);
    }
    reply(connection, 200, "{\"lease\":" + id + ",\"ttlMs\":" + lease.ttlMs + "}");
  }

  private void keep(Http.Connection connection, long id) throws Exception {
    Lease lease;
    synchronized (this) {
      lease = leases.get(id);
      if (lease != null) {
        lease.endNanos = System.nanoTime() + lease.ttlMs * 1_000_000;
      }
    }
    reply(
        connection,
        lease == null ? 404 : 200,
        lease == null ? "{}" : "{\"ttlMs\":" + lease.ttlMs + "}");
  }
}
