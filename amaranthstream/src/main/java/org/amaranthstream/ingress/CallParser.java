package org.amaranthstream.ingress;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.config.OperatorConfig;
import org.amaranthstream.config.Pool;
import org.amaranthstream.config.PoolKind;
import org.amaranthstream.config.WorkClass;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.ids.AffinityKey;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** A parser that checks the headers and body of a call against the active configuration. */
final class CallParser {
  private static final String DEADLINE_HEADER = "Deadline-Ms";
  private static final String KEY_HEADER = "Idempotency-Key";
  private static final String NDJSON_TYPE = "application/x-ndjson";
  private static final String SERVICE_PATH = "/v1/call";
  private static final int MAX_KEY_CHARS = 64;
  private static final int MAX_DEADLINE_DIGITS = 9;

  private CallParser() {}

  /**
   * Parses a call to the work class {@code className}.
   *
   * @return the call, or {@code UNKNOWN_CLASS} or {@code INVALID_REQUEST} with the reason
   */
  static Result<CallRequest> parse(
      OperatorConfig config, String className, HttpServerRequest request, Buffer body) {
    Optional<WorkClass> found = findClass(config, className);
    if (found.isEmpty()) {
      return Result.failure(ResultCode.UNKNOWN_CLASS, "no work class is named " + className);
    }
    WorkClass workClass = found.get();
    Result<Duration> limit = timeLimit(workClass, request.getHeader(DEADLINE_HEADER));
    if (limit instanceof Result.Failure<Duration> failure) {
      return Result.failure(failure.error());
    }
    Optional<String> key = Optional.ofNullable(request.getHeader(KEY_HEADER));
    if (key.isPresent() && key.get().length() > MAX_KEY_CHARS) {
      return invalid(KEY_HEADER + " has more than " + MAX_KEY_CHARS + " characters");
    }
    if (key.isEmpty() && !workClass.idempotent()) {
      return invalid(
          "class " + className + " is not idempotent and requires the header " + KEY_HEADER);
    }
    Duration timeLimit = ((Result.Success<Duration>) limit).value();
    return isService(config, workClass)
        ? serviceCall(workClass, request, body, key, timeLimit)
        : modelCall(workClass, request, body, key, timeLimit);
  }

  private static Optional<WorkClass> findClass(OperatorConfig config, String className) {
    try {
      return Optional.ofNullable(config.classes().get(WorkClassId.of(className)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static boolean isService(OperatorConfig config, WorkClass workClass) {
    Pool pool = config.pools().get(workClass.pool());
    return pool != null && pool.kind() == PoolKind.PLAIN_SERVICE;
  }

  private static Result<CallRequest> serviceCall(
      WorkClass workClass,
      HttpServerRequest request,
      Buffer body,
      Optional<String> key,
      Duration limit) {
    String type = request.getHeader("Content-Type");
    Payload payload =
        new Payload.Call(
            SERVICE_PATH, type == null ? "application/octet-stream" : type, body.getBytes());
    return Result.success(new CallRequest(workClass, payload, Optional.empty(), key, limit, false));
  }

  private static Result<CallRequest> modelCall(
      WorkClass workClass,
      HttpServerRequest request,
      Buffer body,
      Optional<String> key,
      Duration limit) {
    Result<CallBody> parsed = JsonBodies.read(body, CallBody.class);
    if (parsed instanceof Result.Failure<CallBody> failure) {
      return Result.failure(failure.error());
    }
    CallBody call = ((Result.Success<CallBody>) parsed).value();
    int tokens = call.maxTokens() == null ? workClass.maxTokens() : call.maxTokens();
    if (call.prompt() == null) {
      return invalid("body has no prompt, expected a string");
    }
    if (tokens < 1 || tokens > workClass.maxTokens()) {
      return invalid("maxTokens is " + tokens + ", expected 1 to " + workClass.maxTokens());
    }
    Payload payload = new Payload.Generate(call.prompt(), tokens, call.prompt().hashCode());
    boolean streamed = NDJSON_TYPE.equals(request.getHeader("Accept"));
    return affinity(call)
        .map(affinity -> new CallRequest(workClass, payload, affinity, key, limit, streamed));
  }

  private static Result<Optional<AffinityKey>> affinity(CallBody call) {
    try {
      return Result.success(Optional.ofNullable(call.affinity()).map(AffinityKey::of));
    } catch (IllegalArgumentException e) {
      return invalid(e.getMessage());
    }
  }

  private static Result<Duration> timeLimit(WorkClass workClass, String header) {
    Duration classLimit = workClass.answerDeadline();
    if (header == null) {
      return Result.success(classLimit);
    }
    boolean isNumeric = !header.isEmpty() && header.chars().allMatch(c -> c >= '0' && c <= '9');
    if (!isNumeric || header.length() > MAX_DEADLINE_DIGITS || Long.parseLong(header) == 0) {
      return invalid(
          DEADLINE_HEADER + " is '" + header + "', expected a positive number of milliseconds");
    }
    Duration requested = Duration.ofMillis(Long.parseLong(header));
    return Result.success(requested.compareTo(classLimit) < 0 ? requested : classLimit);
  }

  private static <T> Result<T> invalid(String message) {
    return Result.failure(ResultCode.INVALID_REQUEST, message);
  }
}
