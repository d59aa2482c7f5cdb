package org.amaranthstream.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** The key-value service over HTTP, as {@code docs/PROTOCOLS.md} describes. Thread safe. */
public final class HttpKeyValueStore implements KeyValueStore {
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int NOT_MODIFIED = 304;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;
  private static final Buffer EMPTY = Buffer.buffer();

  private final PlatformHttp http;

  private HttpKeyValueStore(PlatformHttp http) {
    this.http = checkNotNull(http, "http");
  }

  /** Returns a client that calls by {@code http}. */
  public static HttpKeyValueStore of(PlatformHttp http) {
    return new HttpKeyValueStore(http);
  }

  @Override
  public CompletableFuture<Result<Optional<KvEntry>>> get(String key) {
    return http.call(HttpMethod.GET, path(key), EMPTY).thenApply(reply -> entry(key, reply));
  }

  @Override
  public CompletableFuture<Result<Optional<KvEntry>>> watch(
      String key, Revision after, Duration wait) {
    String path = path(key) + "?after=" + after + "&waitMs=" + wait.toMillis();
    return http.call(HttpMethod.GET, path, EMPTY, wait).thenApply(reply -> entry(key, reply));
  }

  @Override
  public CompletableFuture<Result<List<KvEntry>>> list(String prefix) {
    String path = "/v1/kv?prefix=" + URLEncoder.encode(prefix, StandardCharsets.UTF_8);
    return http.call(HttpMethod.GET, path, EMPTY).thenApply(HttpKeyValueStore::entries);
  }

  @Override
  public CompletableFuture<WriteReply> compareAndSwap(
      String key, Revision expected, byte[] value, Optional<LeaseId> lease) {
    String path = path(key) + "?expected=" + expected + lease.map(id -> "&lease=" + id).orElse("");
    return http.call(HttpMethod.PUT, path, Buffer.buffer(value))
        .thenApply(HttpKeyValueStore::written);
  }

  @Override
  public CompletableFuture<WriteReply> compareAndDelete(String key, Revision expected) {
    String path = path(key) + "?expected=" + expected;
    return http.call(HttpMethod.DELETE, path, EMPTY).thenApply(HttpKeyValueStore::written);
  }

  @Override
  public CompletableFuture<Result<LeaseId>> grantLease(Duration ttl) {
    Buffer body = Buffer.buffer("{\"ttlMs\": " + ttl.toMillis() + "}");
    return http.call(HttpMethod.POST, "/v1/leases", body)
        .thenApply(reply -> PlatformJson.read(reply, CREATED).map(HttpKeyValueStore::lease));
  }

  @Override
  public CompletableFuture<Result<LeaseId>> renewLease(LeaseId lease) {
    return http.call(HttpMethod.POST, "/v1/leases/" + lease + "/renew", EMPTY)
        .thenApply(reply -> PlatformJson.check(reply, OK).map(unused -> lease));
  }

  @Override
  public CompletableFuture<Result<LeaseId>> revokeLease(LeaseId lease) {
    return http.call(HttpMethod.DELETE, "/v1/leases/" + lease, EMPTY)
        .thenApply(reply -> PlatformJson.check(reply, OK).map(unused -> lease));
  }

  private static String path(String key) {
    return "/v1/kv/" + key;
  }

  private static LeaseId lease(JsonNode json) {
    return LeaseId.of(json.path("lease").asText());
  }

  private static Result<Optional<KvEntry>> entry(String key, PlatformReply reply) {
    if (reply instanceof PlatformReply.Answered answer) {
      if (answer.status() == NOT_FOUND || answer.status() == NOT_MODIFIED) {
        return Result.success(Optional.empty());
      }
      Optional<Revision> revision = revision(answer);
      if (answer.status() == OK && revision.isPresent()) {
        byte[] value = answer.body().getBytes();
        return Result.success(Optional.of(new KvEntry(key, value, revision.get())));
      }
    }
    return Result.failure(PlatformJson.error(reply));
  }

  private static Result<List<KvEntry>> entries(PlatformReply reply) {
    Result<JsonNode> json = PlatformJson.read(reply, OK);
    if (json instanceof Result.Failure<JsonNode> failure) {
      return Result.failure(failure.error());
    }
    try {
      List<KvEntry> entries = new ArrayList<>();
      for (JsonNode entry : ((Result.Success<JsonNode>) json).value().path("entries")) {
        byte[] value = entry.path("value").binaryValue();
        entries.add(
            new KvEntry(
                entry.path("key").asText(),
                value == null ? new byte[0] : value,
                Revision.of(entry.path("revision").asLong())));
      }
      return Result.success(entries);
    } catch (IOException | IllegalArgumentException e) {
      return Result.failure(
          ResultCode.PLATFORM_UNAVAILABLE, "list not readable: " + e.getMessage());
    }
  }

  private static WriteReply written(PlatformReply reply) {
    if (reply instanceof PlatformReply.NotSent notSent) {
      return new WriteReply.Unavailable(notSent.reason(), Optional.empty());
    }
    if (reply instanceof PlatformReply.Lost lost) {
      return new WriteReply.Unknown(lost.reason());
    }
    PlatformReply.Answered answer = (PlatformReply.Answered) reply;
    Optional<Revision> revision = revision(answer);
    return switch (answer.status()) {
      case OK ->
          revision.<WriteReply>map(WriteReply.Written::new).orElseGet(() -> unreadable(answer));
      case CONFLICT -> new WriteReply.Conflict(revision.orElse(Revision.of(0)));
      case TOO_MANY, UNAVAILABLE ->
          new WriteReply.Unavailable("HTTP " + answer.status(), answer.comeBack());
      default -> unreadable(answer);
    };
  }

  private static WriteReply unreadable(PlatformReply.Answered answer) {
    return new WriteReply.Unknown("unexpected answer, HTTP " + answer.status());
  }

  private static Optional<Revision> revision(PlatformReply.Answered answer) {
    try {
      return answer.revision().map(Long::parseLong).map(Revision::of);
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
