package org.amaranthstream.platform;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthstream.logs.LogText;
import org.amaranthstream.result.Result;

/**
 * A client of the VM list over HTTP. {@code docs/PROTOCOLS.md} describes the protocol.
 *
 * <p>Thread safe.
 */
final class HttpVmList implements VmList {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int OK = 200;

  /** Bounds the memory for the descriptions of VMs that were logged. */
  private static final int MAX_LOGGED = 1_000;

  private final PlatformHttp http;
  private final Set<String> logged = ConcurrentHashMap.newKeySet();

  HttpVmList(PlatformHttp http) {
    this.http = http;
  }

  @Override
  public CompletableFuture<Result<List<VmEntry>>> read() {
    return http.call(CallKind.VM_LIST, HttpMethod.GET, "/v1/vms", Buffer.buffer())
        .thenApply(this::vms);
  }

  private Result<List<VmEntry>> vms(PlatformReply reply) {
    boolean isOk = reply instanceof PlatformReply.Answered answered && answered.status() == OK;
    return isOk
        ? PlatformJson.vms(((PlatformReply.Answered) reply).body(), this::logOnce)
        : PlatformErrors.failure(reply);
  }

  /** Logs a VM that cannot be read, but not again at each read of the list. */
  private void logOnce(String description) {
    if (logged.size() < MAX_LOGGED && logged.add(description)) {
      logger.atWarning().log("event=vm_entry_unreadable error=%s", LogText.of(description));
    }
  }
}
