package org.amaranthstream.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** The platform's list of VMs over HTTP. Thread safe. */
public final class HttpVmList implements VmList {
  private static final int OK = 200;

  private final PlatformHttp http;

  private HttpVmList(PlatformHttp http) {
    this.http = checkNotNull(http, "http");
  }

  /** Returns a client that calls by {@code http}. */
  public static HttpVmList of(PlatformHttp http) {
    return new HttpVmList(http);
  }

  @Override
  public CompletableFuture<Result<List<VmEntry>>> read() {
    return http.call(HttpMethod.GET, "/v1/vms", Buffer.buffer()).thenApply(HttpVmList::entries);
  }

  private static Result<List<VmEntry>> entries(PlatformReply reply) {
    Result<JsonNode> json = PlatformJson.read(reply, OK);
    if (json instanceof Result.Failure<JsonNode> failure) {
      return Result.failure(failure.error());
    }
    try {
      List<VmEntry> entries = new ArrayList<>();
      for (JsonNode vm : ((Result.Success<JsonNode>) json).value().path("vms")) {
        entries.add(entry(vm));
      }
      return Result.success(entries);
    } catch (IllegalArgumentException e) {
      return Result.failure(
          ResultCode.PLATFORM_UNAVAILABLE, "VM list not readable: " + e.getMessage());
    }
  }

  private static VmEntry entry(JsonNode vm) {
    JsonNode pool = vm.path("pool");
    return new VmEntry(
        vm.path("name").asText(),
        VmKind.valueOf(vm.path("kind").asText()),
        RegionId.of(vm.path("region").asText()),
        AvailabilityZoneId.of(vm.path("zone").asText()),
        vm.path("host").asText(),
        vm.path("port").asInt(),
        pool.isTextual() && !pool.asText().isEmpty()
            ? Optional.of(PoolId.of(pool.asText()))
            : Optional.empty(),
        vm.path("leaving").asBoolean());
  }
}
