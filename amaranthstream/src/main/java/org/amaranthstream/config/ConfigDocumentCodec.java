package org.amaranthstream.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.time.Instant;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** Conversion between a {@link ConfigDocument} and its stored form, JSON in UTF-8. Thread safe. */
final class ConfigDocumentCodec {
  private static final JsonMapper MAPPER = JsonMapper.builder().build();

  private ConfigDocumentCodec() {}

  /** Returns the stored form of {@code document}. */
  static byte[] encode(ConfigDocument document) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("generation", document.generation().value());
    root.put("yaml", document.yaml());
    ArrayNode history = root.putArray("history");
    for (ConfigChange change : document.history()) {
      history
          .addObject()
          .put("generation", change.generation().value())
          .put("operator", change.operator())
          .put("atMillis", change.at().toEpochMilli())
          .put("summary", change.summary())
          .put("nonce", change.nonce());
    }
    try {
      return MAPPER.writeValueAsBytes(root);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the configuration document cannot be written as JSON", e);
    }
  }

  /**
   * Reads the stored form of a document. A failure has the code {@link ResultCode#CONFIG_INVALID}.
   */
  static Result<ConfigDocument> decode(byte[] bytes) {
    try {
      JsonNode root = MAPPER.readTree(bytes);
      ImmutableList.Builder<ConfigChange> history = ImmutableList.builder();
      for (JsonNode change : root.required("history")) {
        history.add(decodeChange(change));
      }
      return Result.success(
          new ConfigDocument(
              ConfigGeneration.of(requireLong(root, "generation")),
              root.required("yaml").asText(),
              history.build()));
    } catch (IOException | IllegalArgumentException e) {
      return Result.failure(
          ResultCode.CONFIG_INVALID, "found a value that is not a stored configuration document");
    }
  }

  private static ConfigChange decodeChange(JsonNode node) {
    return new ConfigChange(
        ConfigGeneration.of(requireLong(node, "generation")),
        node.required("operator").asText(),
        Instant.ofEpochMilli(requireLong(node, "atMillis")),
        node.required("summary").asText(),
        node.required("nonce").asText());
  }

  private static long requireLong(JsonNode node, String field) {
    JsonNode value = node.required(field);
    if (!value.canConvertToLong() || !value.isIntegralNumber()) {
      throw new IllegalArgumentException(field + " is not a whole number");
    }
    return value.longValue();
  }
}
