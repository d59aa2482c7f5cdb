package org.amaranthstream.standins.engine;

import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.standins.server.Json;
import org.amaranthstream.standins.server.Role;
import org.amaranthstream.standins.server.RunState;
import org.jspecify.annotations.Nullable;

/** Role of a model engine, which runs one decode step of the whole batch at a time. */
final class EngineRole extends Role<EngineSwitches> {
  private static final int CACHE_HIT_SPEEDUP = 4;
  private static final String TOKENS_CANCELLED = "tokens_cancelled";

  private final EngineOptions<?> options;
  private final EngineBatch batch;
  private final PrefixCache cache;
  private final EngineWeights weights;
  private String incarnation = newIncarnation();
  private boolean stepScheduled;
  private @Nullable LoadResponse cachedLoad;
  private long cachedLoadNanos;

  EngineRole(EngineOptions<?> options) {
    super("engine", new EngineSwitches());
    this.options = options;
    this.batch = new EngineBatch(options.slots, options.queue);
    this.cache = new PrefixCache(options.cacheEntries);
    this.weights = new EngineWeights(options, switches(), ledger());
  }

  @Override
  protected void addRoutes(Router router) {
    router.post("/v1/generate").handler(this::generate);
    router.post("/v1/cancel").handler(this::cancel);
    router.get("/v1/load").handler(ctx -> server().send(ctx, 200, load()));
    router.get("/v1/cache-events").handler(this::cacheEvents);
    router.post("/v1/orders").handler(ctx -> weights.handleOrder(ctx, server()));
    if (options.reportLagMs > 0) {
      refreshLoad();
      server().vertx().setPeriodic(options.reportLagMs, id -> refreshLoad());
    }
  }

  @Override
  protected void reset() {
    batch.clear();
    cache.clear();
    weights.reset();
    incarnation = newIncarnation();
    stepScheduled = false;
  }

  private void generate(RoutingContext ctx) {
    Optional<GenerateRequest> request = readRequest(ctx);
    if (request.isEmpty()) {
      server().send(ctx, 400, new Rejection(true, false, "generate request is not valid"));
      return;
    }
    if (switches().drain) {
      reject(ctx, true, "draining");
      return;
    }
    Sequence sequence = new Sequence(request.get(), new ResponseStream(server(), ctx, switches()));
    if (!sequence.hasMatchingResumeText()) {
      ledger().count("resumes_wrong", 1);
      server().send(ctx, 400, new Rejection(true, false, "resumeText does not match resumeOffset"));
      return;
    }
    if (!batch.add(sequence)) {
      reject(ctx, false, "queue is full");
      return;
    }
    ctx.response().closeHandler(closed -> cancelOnClose(sequence));
    startQueued();
  }

  private void reject(RoutingContext ctx, boolean draining, String reason) {
    ledger().count("refused_not_run", 1);
    server().send(ctx, 503, new Rejection(true, draining, reason));
  }

  private static Optional<GenerateRequest> readRequest(RoutingContext ctx) {
    try {
      GenerateRequest request = Json.read(ctx.body().buffer(), GenerateRequest.class);
      return Optional.of(request).filter(GenerateRequest::isValid);
    } catch (IOException | RuntimeException e) {
      return Optional.empty();
    }
  }

  private void startQueued() {
    Optional<Sequence> next = batch.startNext();
    while (next.isPresent()) {
      start(next.get());
      next = batch.startNext();
    }
    if (!stepScheduled && batch.runningCount() > 0) {
      scheduleStep();
    }
  }

  private void start(Sequence sequence) {
    String prompt = String.valueOf(sequence.request.prompt());
    sequence.run = ledger().start(sequence.attempt(), sequence.key, incarnation);
    boolean hit = cache.touch(prompt, weights.version());
    ledger().count(hit ? "cache_hits" : "cache_misses", 1);
    int prefillMs = hit ? options.prefillMs / CACHE_HIT_SPEEDUP : options.prefillMs;
    sequence.readyNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(prefillMs);
    String marker = switches().poisonMarker;
    if (marker != null && prompt.contains(marker)) {
      ledger().count("poisoned", 1);
      server().vertx().runOnContext(ignored -> server().crash());
    }
  }

  private void scheduleStep() {
    stepScheduled = true;
    double overload = Math.max(1.0, (double) batch.runningCount() / options.maxBatch);
    double ms = options.tokenIntervalMs * options.tokensPerChunk * overload * switches().slowFactor;
    String scheduledIn = incarnation;
    server().vertx().setTimer(Math.max(1, Math.round(ms)), id -> decodeBatch(scheduledIn));
  }

  private void decodeBatch(String scheduledIn) {
    if (!scheduledIn.equals(incarnation)) {
      return;
    }
    stepScheduled = false;
    boolean paused = switches().stall || weights.isSwapping();
    if (!paused) {
      long now = System.nanoTime();
      batch.running().stream()
          .filter(sequence -> sequence.readyNanos - now <= 0)
          .forEach(this::decode);
    }
    startQueued();
  }

  private void decode(Sequence sequence) {
    int tokens = (int) Math.min(options.tokensPerChunk, sequence.length - sequence.position);
    boolean sent = true;
    if (tokens > 0) {
      sent = sequence.stream.send(sequence, tokens, weights.version(), incarnation);
      sequence.run.add(sequence.position, tokens, weights.version());
      ledger().count("tokens", tokens);
      sequence.position += tokens;
    }
    if (!sent) {
      end(sequence, RunState.FAILED);
    } else if (sequence.position >= sequence.length) {
      end(sequence, RunState.FINISHED);
      sequence.stream.end(sequence);
    }
  }

  private void end(Sequence sequence, RunState state) {
    batch.remove(sequence);
    if (sequence.run != null) {
      sequence.run.end(state);
    }
  }

  private void cancelOnClose(Sequence sequence) {
    if (sequence.run == null || sequence.run.state() == RunState.RUNNING) {
      stop(sequence);
      startQueued();
    }
  }

  private void cancel(RoutingContext ctx) {
    try {
      CancelRequest request = Json.read(ctx.body().buffer(), CancelRequest.class);
      List<Sequence> removed = batch.cancel(String.valueOf(request.attempt()));
      removed.forEach(this::stop);
      server().send(ctx, 200, new CancelResponse(removed.size()));
      startQueued();
    } catch (IOException e) {
      server().send(ctx, 400, new Rejection(true, false, "cancel request is not valid JSON"));
    }
  }

  private void stop(Sequence sequence) {
    ledger().count(TOKENS_CANCELLED, sequence.position - sequence.request.resumeOffset());
    end(sequence, RunState.CANCELLED);
    sequence.stream.endWithoutMarker();
  }

  private void cacheEvents(RoutingContext ctx) {
    long after = Long.parseLong(ctx.request().getParam("after", "0"));
    server().send(ctx, 200, new CacheEvents(cache.eventsAfter(after)));
  }

  private LoadResponse load() {
    LoadResponse cached = cachedLoad;
    if (cached == null) {
      return currentLoad(0);
    }
    long ageMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - cachedLoadNanos);
    return new LoadResponse(
        cached.incarnation(),
        cached.version(),
        cached.running(),
        cached.queued(),
        cached.slots(),
        cached.draining(),
        ageMs);
  }

  private void refreshLoad() {
    cachedLoad = currentLoad(0);
    cachedLoadNanos = System.nanoTime();
  }

  private LoadResponse currentLoad(long ageMs) {
    return new LoadResponse(
        incarnation,
        weights.version(),
        batch.runningCount(),
        batch.queuedCount(),
        options.slots,
        switches().drain,
        ageMs);
  }

  private static String newIncarnation() {
    return UUID.randomUUID().toString();
  }

  record CancelRequest(@Nullable String attempt) {}

  record CancelResponse(int cancelled) {}

  record CacheEvents(List<CacheEvent> events) {}
}
