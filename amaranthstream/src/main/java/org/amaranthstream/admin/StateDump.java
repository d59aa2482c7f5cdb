package org.amaranthstream.admin;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The state of a process as JSON, one part for each contributor.
 *
 * <p>A part that fails or takes too long is shown as its error; the others are still shown. Values
 * may be JSON nodes or records. Thread safe.
 *
 * <pre>{@code
 * StateDump dump =
 *     StateDump.builder()
 *         .add("settings", () -> SettingsDump.of(settings))
 *         .addLater("rollout", () -> rollout.describe())
 *         .build();
 * }</pre>
 */
public final class StateDump {
  private static final int PART_TIMEOUT_MS = 2_000;

  private final ImmutableMap<String, Supplier<CompletableFuture<?>>> parts;

  private StateDump(ImmutableMap<String, Supplier<CompletableFuture<?>>> parts) {
    this.parts = parts;
  }

  /** Returns a builder without parts. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects all parts; the future does not fail. */
  public CompletableFuture<ObjectNode> collect() {
    Map<String, CompletableFuture<JsonNode>> pending = new LinkedHashMap<>();
    parts.forEach((name, part) -> pending.put(name, node(part)));
    return CompletableFuture.allOf(pending.values().toArray(CompletableFuture[]::new))
        .thenApply(unused -> join(pending));
  }

  private static ObjectNode join(Map<String, CompletableFuture<JsonNode>> pending) {
    ObjectNode dump = JsonNodeFactory.instance.objectNode();
    pending.forEach((name, part) -> dump.set(name, part.join()));
    return dump;
  }

  private static CompletableFuture<JsonNode> node(Supplier<CompletableFuture<?>> part) {
    return start(part)
        .orTimeout(PART_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .thenApply(StateJson::tree)
        .exceptionally(StateDump::errorNode);
  }

  private static CompletableFuture<Object> start(Supplier<CompletableFuture<?>> part) {
    try {
      return part.get().thenApply(value -> value);
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private static JsonNode errorNode(Throwable error) {
    return JsonNodeFactory.instance.objectNode().put("error", error.toString());
  }

  /** Builds a dump. Not thread safe. */
  public static final class Builder {
    private final Map<String, Supplier<CompletableFuture<?>>> parts = new LinkedHashMap<>();

    private Builder() {}

    /** Adds a part that any thread may read at once. */
    @CanIgnoreReturnValue
    public Builder add(String name, Supplier<?> state) {
      return addLater(name, () -> CompletableFuture.completedFuture(state.get()));
    }

    /** Adds a part that another thread reads. */
    @CanIgnoreReturnValue
    public Builder addLater(String name, Supplier<CompletableFuture<?>> state) {
      checkArgument(parts.put(name, state) == null, "part %s is there already", name);
      return this;
    }

    /** Returns the dump. */
    public StateDump build() {
      return new StateDump(ImmutableMap.copyOf(parts));
    }
  }
}
