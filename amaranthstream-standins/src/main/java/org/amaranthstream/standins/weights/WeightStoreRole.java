package org.amaranthstream.standins.weights;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.amaranthstream.standins.server.FaultSwitches;
import org.amaranthstream.standins.server.Role;

/**
 * Role of the weight store: the latest version of each model, and content at a rate that all
 * transfers share.
 */
final class WeightStoreRole extends Role<FaultSwitches> {
  private static final int BITS_PER_BYTE = 8;
  private static final int CHUNK_BYTES = 16 * 1024;
  private static final String VERSION_PATH = "/v1/models/:model/versions/:version";

  private final WeightStoreStandin.Builder options;
  private final Map<String, Long> latestVersions = new HashMap<>();
  private final Deque<Transfer> transfers = new ArrayDeque<>();
  private boolean sending;

  WeightStoreRole(WeightStoreStandin.Builder options) {
    super("weights", new FaultSwitches());
    this.options = options;
  }

  @Override
  protected void addRoutes(Router router) {
    router.get("/v1/models/:model/latest").handler(this::readLatest);
    router.put(VERSION_PATH).handler(this::publish);
    router.get(VERSION_PATH + "/content").handler(this::sendContent);
  }

  /** Discards the transfers only; the published versions are durable. */
  @Override
  protected void reset() {
    transfers.clear();
  }

  private void readLatest(RoutingContext ctx) {
    Long version = latestVersions.get(ctx.pathParam("model"));
    if (version == null) {
      ctx.response().setStatusCode(404).end();
    } else {
      server().send(ctx, 200, new LatestVersion(version));
    }
  }

  private void publish(RoutingContext ctx) {
    long version = Long.parseLong(ctx.pathParam("version"));
    latestVersions.merge(ctx.pathParam("model"), version, Math::max);
    ledger().count("published", 1);
    server().send(ctx, 200, new LatestVersion(version));
  }

  private void sendContent(RoutingContext ctx) {
    long version = Long.parseLong(ctx.pathParam("version"));
    if (version > latestVersions.getOrDefault(ctx.pathParam("model"), 0L)) {
      ctx.response().setStatusCode(404).end();
      return;
    }
    ctx.response().putHeader("Content-Length", Long.toString(options.sizeBytes));
    transfers.addLast(new Transfer(ctx, options.sizeBytes));
    sendNext();
  }

  /** Schedules the next chunk of the transfer at the head of the queue (round robin). */
  private void sendNext() {
    if (sending || transfers.isEmpty()) {
      return;
    }
    sending = true;
    Transfer transfer = transfers.removeFirst();
    int bytes = (int) Math.min(CHUNK_BYTES, transfer.remainingBytes());
    double ms = bytes * BITS_PER_BYTE / (options.megabitsPerSecond * 1000);
    server().vertx().setTimer(Math.max(1, Math.round(ms)), id -> sendChunk(transfer, bytes));
  }

  private void sendChunk(Transfer transfer, int bytes) {
    sending = false;
    HttpServerResponse response = transfer.ctx().response();
    if (!response.closed() && !server().isSilent(transfer.ctx().request().connection())) {
      ledger().count("bytes", bytes);
      Buffer chunk = Buffer.buffer(new byte[bytes]);
      long remaining = transfer.remainingBytes() - bytes;
      if (remaining > 0) {
        response.write(chunk);
        transfers.addLast(new Transfer(transfer.ctx(), remaining));
      } else {
        response.end(chunk);
      }
    }
    sendNext();
  }

  private record Transfer(RoutingContext ctx, long remainingBytes) {}

  record LatestVersion(long version) {}
}
