package org.amaranthstream.membership;

import static com.google.common.base.Preconditions.checkArgument;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** Parser of the JSON body of a backend server's load response. */
final class LoadReportJson {
  private static final int MAX_COUNT = 1_000_000;
  private static final long MAX_AGE_MS = Duration.ofHours(1).toMillis();

  private LoadReportJson() {}

  /**
   * Returns the report in {@code body}, or a failure if the body is invalid.
   *
   * @param requestedNanos monotonic time at which the request was sent; the report is at most its
   *     stated age older
   */
  static Result<LoadReport> parse(Buffer body, long requestedNanos) {
    try {
      return Result.success(read(new JsonObject(body), requestedNanos));
    } catch (DecodeException | ClassCastException | IllegalArgumentException e) {
      return Result.failure(
          ResultCode.BACKEND_ANSWER_INVALID, "load response is invalid: " + e.getMessage());
    }
  }

  private static LoadReport read(JsonObject json, long requestedNanos) {
    String incarnation = json.getString("incarnation");
    checkArgument(incarnation != null, "field incarnation is missing");
    Long version = json.getLong("version");
    long ageMs = Math.min(MAX_AGE_MS, Math.max(0, json.getLong("ageMs", 0L)));
    return new LoadReport(
        Incarnation.of(incarnation),
        Optional.ofNullable(version).map(WeightVersion::of),
        count(json, "running"),
        count(json, "queued"),
        count(json, "slots"),
        Boolean.TRUE.equals(json.getBoolean("draining")),
        requestedNanos - Duration.ofMillis(ageMs).toNanos());
  }

  private static int count(JsonObject json, String key) {
    Integer value = json.getInteger(key);
    checkArgument(value != null, "field %s is missing", key);
    checkArgument(
        value >= 0 && value <= MAX_COUNT, "field %s is out of range [0, 1000000]: %s", key, value);
    return value;
  }
}
