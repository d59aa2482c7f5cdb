package org.amaranthstream.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import org.amaranthstream.yaml.Durations;

/** Serializer of a configuration to YAML. Thread safe. */
final class ConfigWriter {
  private static final YAMLMapper MAPPER =
      YAMLMapper.builder().disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER).build();

  private ConfigWriter() {}

  static String write(OperatorConfig config) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    ObjectNode pools = root.putObject("pools");
    config.pools().forEach((id, pool) -> pools.set(id.value(), node(pool)));
    ObjectNode classes = root.putObject("classes");
    config.classes().forEach((id, workClass) -> classes.set(id.value(), node(workClass, config)));
    try {
      return MAPPER.writeValueAsString(root);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the configuration cannot be written as YAML", e);
    }
  }

  private static ObjectNode node(Pool pool) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("kind", pool.kind().name());
    if (pool.model().isPresent()) {
      node.put("model", pool.model().get().value());
      node.put("checksFencing", pool.checksFencing());
    }
    return node;
  }

  private static ObjectNode node(WorkClass workClass, OperatorConfig config) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("kind", workClass.kind().name());
    node.put("pool", workClass.pool().value());
    if (workClass.kind() == ClassKind.TRAINING) {
      node.put("stepDeadline", Durations.format(workClass.stepDeadline()));
      node.put("weighsMore", workClass.weighsMore().name());
    } else {
      node.put("answerDeadline", Durations.format(workClass.answerDeadline()));
      node.put("idempotent", workClass.idempotent());
    }
    Pool pool = config.pools().get(workClass.pool());
    if (pool != null && pool.kind() == PoolKind.MODEL_ENGINE) {
      node.put("stalenessBound", workClass.stalenessBound());
      node.put("maxTokens", workClass.maxTokens());
    }
    return node;
  }
}
