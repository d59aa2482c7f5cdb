package org.amaranthstream.ingress;

import static com.google.common.base.Preconditions.checkNotNull;

import io.vertx.core.Handler;
import io.vertx.ext.web.RoutingContext;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** A handler of announced weight versions: {@code POST /v1/models/:model/versions}. Thread safe. */
public final class VersionHandler implements Handler<RoutingContext> {
  private static final int HTTP_ACCEPTED = 202;

  private final VersionSink sink;

  private VersionHandler(VersionSink sink) {
    this.sink = checkNotNull(sink, "sink");
  }

  /** Returns a handler that announces to {@code sink}. */
  public static VersionHandler of(VersionSink sink) {
    return new VersionHandler(sink);
  }

  @Override
  public void handle(RoutingContext routing) {
    ResultResponder<WeightVersion> responder =
        ResultResponder.of(
            routing.response(), HTTP_ACCEPTED, version -> new VersionBody(version.value()));
    Result<VersionBody> body = JsonBodies.readBody(routing, VersionBody.class);
    if (body instanceof Result.Failure<VersionBody> failure) {
      responder.accept(Result.failure(failure.error()));
      return;
    }
    announce(routing, ((Result.Success<VersionBody>) body).value(), responder);
  }

  private void announce(
      RoutingContext routing, VersionBody body, ResultResponder<WeightVersion> responder) {
    if (body.version() == null || body.version() < 0) {
      String message = "version is " + body.version() + ", expected an integer of at least 0";
      responder.accept(Result.failure(ResultCode.INVALID_REQUEST, message));
      return;
    }
    try {
      ModelId model = ModelId.of(routing.pathParam("model"));
      sink.announce(model, WeightVersion.of(body.version()), responder);
    } catch (IllegalArgumentException e) {
      responder.accept(
          Result.failure(ResultCode.INVALID_REQUEST, "the path is invalid: " + e.getMessage()));
    }
  }
}
