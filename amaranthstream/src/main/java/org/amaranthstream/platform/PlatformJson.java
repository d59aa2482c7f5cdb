package org.amaranthstream.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableList;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** A codec for the JSON bodies of the platform; a malformed body results in a failure. */
final class PlatformJson {
  private static final JsonMapper MAPPER = JsonMapper.builder().build();
  private static final int MAX_PORT = 65_535;

  private PlatformJson() {}

  static Result<List<KvEntry>> entries(Buffer body) {
    return parse(body, root -> items(root, "entries", PlatformJson::entry));
  }

  /**
   * Decodes a list of VMs. A VM that cannot be read is left out and passed to {@code unreadable},
   * so that it doesn't hide the others; a list without any readable VM results in a failure.
   */
  static Result<List<VmEntry>> vms(Buffer body, Consumer<String> unreadable) {
    return parse(body, root -> readableVms(root, unreadable));
  }

  private static List<VmEntry> readableVms(JsonNode root, Consumer<String> unreadable) {
    JsonNode nodes = root.required("vms");
    ImmutableList.Builder<VmEntry> readable = ImmutableList.builder();
    for (JsonNode node : nodes) {
      try {
        readable.add(vm(node));
      } catch (IllegalArgumentException e) {
        unreadable.accept(node.path("name").asText() + ": " + e.getMessage());
      }
    }
    List<VmEntry> vms = readable.build();
    if (vms.isEmpty() && !nodes.isEmpty()) {
      throw new IllegalArgumentException("no VM of the list can be read");
    }
    return vms;
  }

  static Result<LeaseId> lease(Buffer body) {
    return parse(body, root -> LeaseId.of(text(root, "lease")));
  }

  static Buffer leaseRequest(long ttlMillis) {
    return Buffer.buffer(MAPPER.createObjectNode().put("ttlMs", ttlMillis).toString());
  }

  private static <T> Result<T> parse(Buffer body, Function<JsonNode, T> reader) {
    try {
      return Result.success(reader.apply(MAPPER.readTree(body.getBytes())));
    } catch (IOException | IllegalArgumentException e) {
      return Result.failure(
          ResultCode.PLATFORM_UNAVAILABLE, "malformed response of the platform: " + e);
    }
  }

  private static <T> List<T> items(JsonNode root, String field, Function<JsonNode, T> reader) {
    ImmutableList.Builder<T> items = ImmutableList.builder();
    for (JsonNode node : root.required(field)) {
      items.add(reader.apply(node));
    }
    return items.build();
  }

  private static KvEntry entry(JsonNode node) {
    try {
      byte[] value = node.required("value").binaryValue();
      return new KvEntry(text(node, "key"), value, Revision.of(number(node, "revision")));
    } catch (IOException e) {
      throw new IllegalArgumentException("value is not base64", e);
    }
  }

  private static VmEntry vm(JsonNode node) {
    long port = number(node, "port");
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("port out of range: " + port);
    }
    return new VmEntry(
        text(node, "name"),
        VmKind.valueOf(text(node, "kind")),
        RegionId.of(text(node, "region")),
        AvailabilityZoneId.of(text(node, "zone")),
        text(node, "host"),
        (int) port,
        node.hasNonNull("pool") ? Optional.of(PoolId.of(text(node, "pool"))) : Optional.empty(),
        node.path("leaving").asBoolean(false));
  }

  private static String text(JsonNode node, String field) {
    JsonNode value = node.required(field);
    if (!value.isTextual()) {
      throw new IllegalArgumentException(field + " is not text");
    }
    return value.textValue();
  }

  private static long number(JsonNode node, String field) {
    JsonNode value = node.required(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      throw new IllegalArgumentException(field + " is not a whole number");
    }
    return value.longValue();
  }
}
