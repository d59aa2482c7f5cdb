package org.amaranthstream.standins.kv;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.amaranthstream.standins.server.Json;
import org.amaranthstream.standins.server.Role;
import org.amaranthstream.standins.server.RunState;
import org.jspecify.annotations.Nullable;

/** Role of the platform's key-value service and of its list of VMs. */
final class KvRole extends Role<KvSwitches> {
  private static final int EXPIRY_INTERVAL_MS = 50;
  private static final int MAX_VALUE_BYTES = 1 << 20;
  private static final String KEY_PATH = "/v1/kv/";

  private final VmListHistory vms = new VmListHistory();
  private final RateLimiter reads = new RateLimiter();
  private final RateLimiter writes = new RateLimiter();
  private final KvState state = new KvState(this::notifyWatches);
  private final Map<String, List<Watch>> watches = new HashMap<>();
  private @Nullable Map<String, KvState.Entry> staleEntries;

  KvRole() {
    super("kv", new KvSwitches());
  }

  @Override
  protected void addRoutes(Router router) {
    server().vertx().setPeriodic(EXPIRY_INTERVAL_MS, id -> state.expire(System.nanoTime()));
    router.route("/v1/*").handler(this::admit);
    router.get("/v1/kv").handler(this::list);
    router.get(KEY_PATH + "*").handler(this::get);
    router.put(KEY_PATH + "*").handler(this::put);
    router.delete(KEY_PATH + "*").handler(this::delete);
    router.post("/v1/leases").handler(this::grant);
    router.post("/v1/leases/:id/renew").handler(this::renew);
    router.delete("/v1/leases/:id").handler(this::revoke);
    router.get("/v1/vms").handler(this::readVms);
  }

  @Override
  protected void onSwitchesChanged() {
    List<Vm> list = switches().vms;
    if (list != null) {
      vms.set(list, System.nanoTime());
      switches().vms = null;
    }
    if (!switches().staleReads) {
      staleEntries = null;
    } else if (staleEntries == null) {
      staleEntries = state.copy();
    }
  }

  /** Discards the watches only; entries, leases and the list of VMs are durable. */
  @Override
  protected void reset() {
    watches.clear();
  }

  private void admit(RoutingContext ctx) {
    boolean read = ctx.request().method().equals(HttpMethod.GET);
    ledger().count(read ? "reads" : "writes", 1);
    if (switches().outage) {
      ctx.response().setStatusCode(503).end();
    } else if (!isWithinRate(read)) {
      ctx.response().setStatusCode(429).putHeader("Retry-After", "1").end();
    } else {
      ctx.next();
    }
  }

  private boolean isWithinRate(boolean read) {
    long now = System.nanoTime();
    return read
        ? reads.tryAcquire(switches().readsPerSecond, now)
        : writes.tryAcquire(switches().writesPerSecond, now);
  }

  private void get(RoutingContext ctx) {
    String key = key(ctx);
    String after = ctx.request().getParam("after");
    KvState.@Nullable Entry entry = read(key);
    if (after == null) {
      respond(ctx, entry);
      return;
    }
    long knownRevision = Long.parseLong(after);
    boolean deleted = entry == null && knownRevision > 0;
    if (deleted || (entry != null && entry.revision() > knownRevision)) {
      respond(ctx, entry);
    } else {
      watch(ctx, key);
    }
  }

  private KvState.@Nullable Entry read(String key) {
    return staleEntries == null ? state.get(key) : staleEntries.get(key);
  }

  private void watch(RoutingContext ctx, String key) {
    ledger().count("watches", 1);
    long waitMs = Math.max(1, Long.parseLong(ctx.request().getParam("waitMs", "1000")));
    long timer = server().vertx().setTimer(waitMs, id -> expireWatch(ctx, key));
    watches.computeIfAbsent(key, k -> new ArrayList<>()).add(new Watch(ctx, timer));
  }

  private void expireWatch(RoutingContext ctx, String key) {
    watches.getOrDefault(key, List.of()).removeIf(watch -> watch.ctx().equals(ctx));
    if (canRespondToWatch(ctx)) {
      ctx.response().setStatusCode(304).end();
    }
  }

  private void notifyWatches(String key) {
    List<Watch> pending = watches.remove(key);
    if (pending == null) {
      return;
    }
    for (Watch watch : pending) {
      server().vertx().cancelTimer(watch.timer());
      if (canRespondToWatch(watch.ctx())) {
        respond(watch.ctx(), state.get(key));
      }
    }
  }

  private boolean canRespondToWatch(RoutingContext ctx) {
    boolean silent = switches().silentWatch || server().isSilent(ctx.request().connection());
    return !silent && !ctx.response().closed() && !ctx.response().ended();
  }

  private void respond(RoutingContext ctx, KvState.@Nullable Entry entry) {
    if (entry == null) {
      ctx.response().setStatusCode(404).end();
      return;
    }
    ctx.response()
        .putHeader("Revision", Long.toString(entry.revision()))
        .putHeader("Content-Type", "application/octet-stream")
        .end(entry.value());
  }

  private void list(RoutingContext ctx) {
    String prefix = ctx.request().getParam("prefix", "");
    Map<String, KvState.Entry> found = new TreeMap<>(state.list(prefix));
    if (staleEntries != null) {
      found = new TreeMap<>(staleEntries);
      found.keySet().removeIf(key -> !key.startsWith(prefix));
    }
    List<ListedEntry> entries = new ArrayList<>();
    found.forEach((key, entry) -> entries.add(ListedEntry.of(key, entry)));
    server().send(ctx, 200, new Listing(entries));
  }

  private void put(RoutingContext ctx) {
    Buffer value = ctx.body().buffer() == null ? Buffer.buffer() : ctx.body().buffer();
    String expected = ctx.request().getParam("expected");
    if (expected == null || value.length() > MAX_VALUE_BYTES) {
      ctx.response().setStatusCode(expected == null ? 400 : 413).end();
      return;
    }
    String key = key(ctx);
    String lease = ctx.request().getParam("lease");
    long revision = state.put(key, Long.parseLong(expected), value, lease);
    if (revision == KvState.NO_LEASE) {
      ctx.response().setStatusCode(404).end();
    } else {
      respondToWrite(ctx, key, revision > 0, revision);
    }
  }

  private void delete(RoutingContext ctx) {
    String key = key(ctx);
    long expected = Long.parseLong(ctx.request().getParam("expected", "-1"));
    boolean deleted = state.delete(key, expected);
    respondToWrite(ctx, key, deleted, 0);
  }

  private void respondToWrite(RoutingContext ctx, String key, boolean written, long revision) {
    ledger().count(written ? "writes_applied" : "writes_in_conflict", 1);
    if (written) {
      ledger().start("", key, "kv").end(RunState.FINISHED);
    }
    if (switches().loseAnswers > 0) {
      switches().loseAnswers--;
      ledger().count("answers_lost", 1);
      ctx.request().connection().close();
      return;
    }
    long reported = written ? revision : state.revisionOf(key);
    ctx.response()
        .setStatusCode(written ? 200 : 409)
        .putHeader("Revision", Long.toString(reported))
        .end();
  }

  private void grant(RoutingContext ctx) {
    try {
      LeaseRequest request = Json.read(ctx.body().buffer(), LeaseRequest.class);
      server().send(ctx, 201, new LeaseResponse(state.grant(request.ttlMs(), System.nanoTime())));
    } catch (IOException e) {
      ctx.response().setStatusCode(400).end();
    }
  }

  private void renew(RoutingContext ctx) {
    boolean renewed = state.renew(ctx.pathParam("id"), System.nanoTime());
    ctx.response().setStatusCode(renewed ? 200 : 404).end();
  }

  private void revoke(RoutingContext ctx) {
    state.revoke(ctx.pathParam("id"));
    ctx.response().end();
  }

  private void readVms(RoutingContext ctx) {
    String reader = ctx.request().remoteAddress().hostAddress();
    List<Vm> readerVms = switches().vmsByReader.get(reader);
    List<Vm> list =
        readerVms == null ? vms.read(System.nanoTime(), switches().vmListLagMs) : readerVms;
    server().send(ctx, 200, new VmListing(list));
  }

  private static String key(RoutingContext ctx) {
    return ctx.request().path().substring(KEY_PATH.length());
  }

  private record Watch(RoutingContext ctx, long timer) {}

  record LeaseRequest(long ttlMs) {}

  record LeaseResponse(String lease) {}

  record Listing(List<ListedEntry> entries) {}

  record ListedEntry(String key, String value, long revision) {
    static ListedEntry of(String key, KvState.Entry entry) {
      String text = Base64.getEncoder().encodeToString(entry.value().getBytes());
      return new ListedEntry(key, text, entry.revision());
    }
  }
}
