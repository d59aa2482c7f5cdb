package org.amaranthstream.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/** Static methods that write the HTTP responses of the administration API. */
final class AdminResponses {
  private static final String CONTENT_TYPE = "Content-Type";

  private AdminResponses() {}

  /** Writes {@code body} as indented JSON, with the HTTP status of {@code code}. */
  static void json(RoutingContext routing, ResultCode code, JsonNode body) {
    write(routing, code, "application/json", body.toPrettyString() + "\n");
  }

  /** Writes {@code body} as YAML, with the HTTP status of {@link ResultCode#OK}. */
  static void yaml(RoutingContext routing, String body) {
    write(routing, ResultCode.OK, "application/yaml", body);
  }

  /** Writes an error of {@code code} and {@code message} as JSON. */
  static void error(RoutingContext routing, ResultCode code, String message) {
    error(routing, ErrorDetail.of(code, message));
  }

  /** Writes the number, name and message of {@code error} as JSON, with its HTTP status. */
  static void error(RoutingContext routing, ErrorDetail error) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("code", error.code().number());
    body.put("name", error.code().name());
    body.put("message", error.message());
    json(routing, error.code(), body);
  }

  /** Does nothing if the response has ended or the connection is closed. */
  private static void write(RoutingContext routing, ResultCode code, String type, String body) {
    HttpServerResponse response = routing.response();
    if (!response.ended() && !response.closed()) {
      response.setStatusCode(code.httpStatus()).putHeader(CONTENT_TYPE, type).end(body);
    }
  }
}
