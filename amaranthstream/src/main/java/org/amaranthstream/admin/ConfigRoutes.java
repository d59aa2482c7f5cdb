package org.amaranthstream.admin;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.amaranthstream.config.AppliedConfig;
import org.amaranthstream.config.ConfigChange;
import org.amaranthstream.config.ConfigManager;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** The routes that read and replace the operators' configuration and list its history. */
final class ConfigRoutes {
  private static final String PATH = "/v1/admin/config";
  private static final int MAX_BODY_BYTES = 1_000_000;
  private static final Pattern IF_MATCH = Pattern.compile("\"?([0-9]{1,18})\"?");

  private final ConfigManager configManager;

  ConfigRoutes(ConfigManager configManager) {
    this.configManager = checkNotNull(configManager, "configManager");
  }

  /** Adds the routes to {@code router}. */
  void mount(Router router) {
    router.get(PATH).handler(this::get);
    router.get(PATH + "/history").handler(this::history);
    router.put(PATH).handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
    router.put(PATH).handler(this::put);
  }

  private void get(RoutingContext routing) {
    AppliedConfig applied = configManager.applied();
    putEntityTag(routing, applied.config().generation());
    AdminResponses.yaml(routing, applied.yaml());
  }

  private void history(RoutingContext routing) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    ArrayNode history = body.putArray("history");
    for (ConfigChange change : configManager.history()) {
      history
          .addObject()
          .put("generation", change.generation().value())
          .put("operator", change.operator())
          .put("at", change.at().toString())
          .put("summary", change.summary());
    }
    AdminResponses.json(routing, ResultCode.OK, body);
  }

  private void put(RoutingContext routing) {
    Optional<ConfigGeneration> expected = expectedGeneration(routing);
    if (expected.isEmpty()) {
      AdminResponses.error(
          routing,
          ResultCode.INVALID_REQUEST,
          "found no If-Match header with a number, expected the generation that is replaced");
      return;
    }
    Buffer body = routing.body().buffer();
    String yaml = body == null ? "" : body.toString(StandardCharsets.UTF_8);
    configManager
        .put(expected.get(), yaml, OperatorAuthorizationHandler.operatorOf(routing))
        .thenAccept(
            result -> routing.vertx().runOnContext(unused -> respondToPut(routing, result)));
  }

  private static Optional<ConfigGeneration> expectedGeneration(RoutingContext routing) {
    String header = routing.request().getHeader("If-Match");
    Matcher matcher = IF_MATCH.matcher(header == null ? "" : header);
    return matcher.matches()
        ? Optional.of(ConfigGeneration.of(Long.parseLong(matcher.group(1))))
        : Optional.empty();
  }

  private static void respondToPut(RoutingContext routing, Result<ConfigGeneration> result) {
    if (result instanceof Result.Success<ConfigGeneration> success) {
      putEntityTag(routing, success.value());
      ObjectNode body = JsonNodeFactory.instance.objectNode();
      AdminResponses.json(routing, ResultCode.OK, body.put("generation", success.value().value()));
    } else if (result instanceof Result.Failure<ConfigGeneration> failure) {
      AdminResponses.error(routing, failure.error());
    }
  }

  private static void putEntityTag(RoutingContext routing, ConfigGeneration generation) {
    routing.response().putHeader("ETag", "\"" + generation + "\"");
  }
}
