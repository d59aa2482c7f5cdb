package org.amaranthstream.ingress;

import io.vertx.core.Handler;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/** A handler that responds with an error to requests that match no route. Thread safe. */
enum UnknownPathHandler implements Handler<RoutingContext> {
  INSTANCE;

  @Override
  public void handle(RoutingContext routing) {
    ErrorDetail error =
        ErrorDetail.of(
            ResultCode.NO_ROUTE,
            "no route matches " + routing.request().method() + " " + routing.normalizedPath());
    IngressResponses.error(routing.response(), error, Optional.empty(), Optional.empty());
  }
}
