package org.amaranthstream.platform;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.result.Result;

/**
 * A client of the VM list over HTTP. {@code docs/PROTOCOLS.md} describes the protocol.
 *
 * <p>Thread safe.
 */
final class HttpVmList implements VmList {
  private static final int OK = 200;

  private final PlatformHttp http;

  HttpVmList(PlatformHttp http) {
    this.http = http;
  }

  @Override
  public CompletableFuture<Result<List<VmEntry>>> read() {
    return http.call(CallKind.VM_LIST, HttpMethod.GET, "/v1/vms", Buffer.buffer())
        .thenApply(HttpVmList::vms);
  }

  private static Result<List<VmEntry>> vms(PlatformReply reply) {
    boolean isOk = reply instanceof PlatformReply.Answered answered && answered.status() == OK;
    return isOk
        ? PlatformJson.vms(((PlatformReply.Answered) reply).body())
        : PlatformErrors.failure(reply);
  }
}
