package org.amaranthstream.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/** Writes the answers of the administration API. */
final class AdminAnswers {
  private static final String CONTENT_TYPE = "Content-Type";

  private AdminAnswers() {}

  static void json(RoutingContext routing, ResultCode code, JsonNode body) {
    write(routing, code, "application/json", body.toPrettyString() + "\n");
  }

  static void yaml(RoutingContext routing, String body) {
    write(routing, ResultCode.OK, "application/yaml", body);
  }

  static void error(RoutingContext routing, ResultCode code, String message) {
    error(routing, ErrorDetail.of(code, message));
  }

  static void error(RoutingContext routing, ErrorDetail error) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("code", error.code().number());
    body.put("name", error.code().name());
    body.put("message", error.message());
    json(routing, error.code(), body);
  }

  private static void write(RoutingContext routing, ResultCode code, String type, String body) {
    HttpServerResponse response = routing.response();
    if (!response.ended() && !response.closed()) {
      response.setStatusCode(code.httpStatus()).putHeader(CONTENT_TYPE, type).end(body);
    }
  }
}
