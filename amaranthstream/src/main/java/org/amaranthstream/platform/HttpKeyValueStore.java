package org.amaranthstream.platform;

import static com.google.common.base.Preconditions.checkArgument;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.result.Result;

/**
 * A client of the key-value service over HTTP. {@code docs/PROTOCOLS.md} describes the protocol.
 *
 * <p>Thread safe.
 */
final class HttpKeyValueStore implements KeyValueStore {
  private static final String KEYS = "/v1/kv/";
  private static final String LEASES = "/v1/leases";
  private static final Pattern KEY = Pattern.compile("[A-Za-z0-9._:-]+(/[A-Za-z0-9._:-]+)*/?");
  private static final Buffer NO_BODY = Buffer.buffer();
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int NOT_MODIFIED = 304;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  private final PlatformHttp http;

  HttpKeyValueStore(PlatformHttp http) {
    this.http = http;
  }

  @Override
  public CompletableFuture<Result<Optional<KvEntry>>> get(String key) {
    return http.call(CallKind.READ, HttpMethod.GET, path(key), NO_BODY)
        .thenApply(reply -> entry(key, reply));
  }

  @Override
  public CompletableFuture<Result<Optional<KvEntry>>> watch(
      String key, Revision after, Duration wait) {
    String uri = path(key) + "?after=" + after + "&waitMs=" + wait.toMillis();
    return http.call(CallKind.WATCH, HttpMethod.GET, uri, NO_BODY, wait)
        .thenApply(reply -> entry(key, reply));
  }

  private static Result<Optional<KvEntry>> entry(String key, PlatformReply reply) {
    if (!(reply instanceof PlatformReply.Answered answered)) {
      return PlatformErrors.failure(reply);
    }
    if (answered.status() == NOT_FOUND || answered.status() == NOT_MODIFIED) {
      return Result.success(Optional.empty());
    }
    if (answered.status() != OK || answered.revision().isEmpty()) {
      return PlatformErrors.failure(reply);
    }
    byte[] value = answered.body().getBytes();
    return Result.success(Optional.of(new KvEntry(key, value, answered.revision().get())));
  }

  @Override
  public CompletableFuture<Result<List<KvEntry>>> list(String prefix) {
    checkArgument(prefix.isEmpty() || isKey(prefix), "invalid key prefix: %s", prefix);
    return http.call(CallKind.READ, HttpMethod.GET, "/v1/kv?prefix=" + prefix, NO_BODY)
        .thenApply(
            reply ->
                hasStatus(reply, OK)
                    ? PlatformJson.entries(body(reply))
                    : PlatformErrors.failure(reply));
  }

  @Override
  public CompletableFuture<WriteReply> compareAndSwap(
      String key, Revision expected, byte[] value, Optional<LeaseId> lease) {
    String uri = path(key) + "?expected=" + expected + lease.map(id -> "&lease=" + id).orElse("");
    return http.call(CallKind.WRITE, HttpMethod.PUT, uri, Buffer.buffer(value))
        .thenApply(reply -> writeReply(reply, Optional.empty()));
  }

  @Override
  public CompletableFuture<WriteReply> compareAndDelete(String key, Revision expected) {
    String uri = path(key) + "?expected=" + expected;
    return http.call(CallKind.WRITE, HttpMethod.DELETE, uri, NO_BODY)
        .thenApply(reply -> writeReply(reply, Optional.of(expected)));
  }

  private static WriteReply writeReply(PlatformReply reply, Optional<Revision> defaultRevision) {
    if (reply instanceof PlatformReply.Answered answered) {
      if (answered.status() == CONFLICT) {
        return new WriteReply.Conflict(answered.revision().orElse(Revision.of(0)));
      }
      Optional<Revision> revision = answered.revision().or(() -> defaultRevision);
      if (answered.status() == OK && revision.isPresent()) {
        return new WriteReply.Written(revision.get());
      }
    }
    return PlatformErrors.writeReply(reply);
  }

  @Override
  public CompletableFuture<Result<LeaseId>> grantLease(Duration ttl) {
    Buffer body = PlatformJson.leaseRequest(ttl.toMillis());
    return http.call(CallKind.LEASE, HttpMethod.POST, LEASES, body)
        .thenApply(
            reply ->
                hasStatus(reply, CREATED)
                    ? PlatformJson.lease(body(reply))
                    : PlatformErrors.failure(reply));
  }

  @Override
  public CompletableFuture<Result<LeaseId>> renewLease(LeaseId lease) {
    return leaseCall(HttpMethod.POST, LEASES + "/" + lease + "/renew", lease);
  }

  @Override
  public CompletableFuture<Result<LeaseId>> revokeLease(LeaseId lease) {
    return leaseCall(HttpMethod.DELETE, LEASES + "/" + lease, lease);
  }

  private CompletableFuture<Result<LeaseId>> leaseCall(
      HttpMethod method, String uri, LeaseId lease) {
    return http.call(CallKind.LEASE, method, uri, NO_BODY)
        .thenApply(
            reply -> hasStatus(reply, OK) ? Result.success(lease) : PlatformErrors.failure(reply));
  }

  private static boolean hasStatus(PlatformReply reply, int status) {
    return reply instanceof PlatformReply.Answered answered && answered.status() == status;
  }

  private static Buffer body(PlatformReply reply) {
    return ((PlatformReply.Answered) reply).body();
  }

  private static String path(String key) {
    checkArgument(isKey(key), "invalid key: %s", key);
    return KEYS + key;
  }

  private static boolean isKey(String key) {
    return KEY.matcher(key).matches();
  }
}
