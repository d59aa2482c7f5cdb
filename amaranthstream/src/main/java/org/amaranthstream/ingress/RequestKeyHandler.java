package org.amaranthstream.ingress;

import static com.google.common.base.Preconditions.checkNotNull;

import io.vertx.core.Handler;
import io.vertx.ext.web.RoutingContext;
import org.amaranthstream.ids.EntryVmId;

/** A handler that issues idempotency keys: {@code POST /v1/request-keys}. Thread safe. */
public final class RequestKeyHandler implements Handler<RoutingContext> {
  private static final int HTTP_CREATED = 201;

  private final IdempotencyKeyIssuer issuer;
  private final EntryVmId vm;

  private RequestKeyHandler(IdempotencyKeyIssuer issuer, EntryVmId vm) {
    this.issuer = checkNotNull(issuer, "issuer");
    this.vm = checkNotNull(vm, "vm");
  }

  /** Returns a handler that issues keys of {@code vm}. */
  public static RequestKeyHandler of(IdempotencyKeyIssuer issuer, EntryVmId vm) {
    return new RequestKeyHandler(issuer, vm);
  }

  @Override
  public void handle(RoutingContext routing) {
    ResultResponder<String> responder =
        ResultResponder.of(
            routing.response(), HTTP_CREATED, key -> new RequestKeyBody(key, vm.value()));
    issuer.issue(responder);
  }
}
