package org.amaranthstream.ingress;

import io.vertx.core.Handler;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/** Answers requests that no route takes. Thread safe. */
enum UnknownPathHandler implements Handler<RoutingContext> {
  INSTANCE;

  @Override
  public void handle(RoutingContext routing) {
    ErrorDetail error =
        ErrorDetail.of(
            ResultCode.NO_ROUTE,
            "no route takes " + routing.request().method() + " " + routing.normalizedPath());
    HttpAnswers.error(routing.response(), error, Optional.empty(), Optional.empty());
  }
}
