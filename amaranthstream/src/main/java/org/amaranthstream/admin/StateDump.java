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
 * The state of a process as JSON, with one named part for each component.
 *
 * <p>A part that fails, or whose future does not complete within 2 s, is replaced by an object with
 * its error; the other parts are unaffected. The value of a part is a JSON node or a record. Thread
 * safe.
 *
 * <pre>{@code
 * StateDump dump =
 *     StateDump.builder()
 *         .add("settings", () -> SettingsDump.of(settings))
 *         .addAsync("rollout", () -> rollout.describe())
 *         .build();
 * }</pre>
 */
public final class StateDump {
  private static final int PART_TIMEOUT_MS = 2_000;

  private final ImmutableMap<String, Supplier<CompletableFuture<?>>> parts;

  private StateDump(ImmutableMap<String, Supplier<CompletableFuture<?>>> parts) {
    this.parts = parts;
  }

  /** Returns a builder of a dump without parts. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects all parts in the order in which they were added; the future never fails. */
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

  /** A builder of {@link StateDump}. Not thread safe. */
  public static final class Builder {
    private final Map<String, Supplier<CompletableFuture<?>>> parts = new LinkedHashMap<>();

    private Builder() {}

    /**
     * Adds a part whose state can be read on any thread.
     *
     * @throws IllegalArgumentException if the dump already has a part {@code name}
     */
    @CanIgnoreReturnValue
    public Builder add(String name, Supplier<?> state) {
      return addAsync(name, () -> CompletableFuture.completedFuture(state.get()));
    }

    /**
     * Adds a part whose state is read asynchronously, usually on the thread that owns it.
     *
     * @throws IllegalArgumentException if the dump already has a part {@code name}
     */
    @CanIgnoreReturnValue
    public Builder addAsync(String name, Supplier<CompletableFuture<?>> state) {
      checkArgument(parts.put(name, state) == null, "the state dump already has a part %s", name);
      return this;
    }

    /** Returns the dump. */
    public StateDump build() {
      return new StateDump(ImmutableMap.copyOf(parts));
    }
  }
}
