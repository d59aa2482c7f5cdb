package org.amaranthstream.yaml;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * A YAML mapping whose values are read and validated key by key.
 *
 * <p>Each method that reads a key throws a {@link DocumentException} if the value is missing or
 * invalid. {@link #finish} rejects the keys that have not been read. Not thread safe.
 */
public final class MappingNode implements YamlNode {
  private final DocumentContext context;
  private final String path;
  private String schemaPath;
  private final int line;
  private final Map<String, Entry> entries;
  private final Set<String> readKeys = new LinkedHashSet<>();

  /**
   * A value and the line of its key.
   *
   * @param line the line of the key, from 1
   * @param value the value
   */
  record Entry(int line, YamlNode value) {}

  MappingNode(
      DocumentContext context,
      String path,
      String schemaPath,
      int line,
      Map<String, Entry> entries) {
    this.context = context;
    this.path = path;
    this.schemaPath = schemaPath;
    this.line = line;
    this.entries = entries;
  }

  /** Returns the path of {@code key} in the mapping at {@code path}. */
  static String join(String path, String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  @Override
  public int line() {
    return line;
  }

  @Override
  public String describe() {
    return "a mapping";
  }

  /** Returns true if the key is present, and marks it as read. */
  public boolean has(String key) {
    return find(key) != null;
  }

  /** Returns the text of a required key. */
  public String text(String key) {
    return scalar(key, ScalarNode.Kind.TEXT, "text (in quotes if it looks like a number)");
  }

  /** Returns the text of an optional key, or empty if the key is missing. */
  public Optional<String> optionalText(String key) {
    return has(key) ? Optional.of(text(key)) : Optional.empty();
  }

  /** Returns the text of a required key. Error messages never contain its value. */
  public String secretText(String key) {
    YamlNode value = required(key, "text").value();
    if (value instanceof ScalarNode scalar && scalar.kind() == ScalarNode.Kind.TEXT) {
      return scalar.text();
    }
    throw problem(key, "a value that is not text", "text (in quotes if it looks like a number)");
  }

  /**
   * Returns the text of a required key, converted by {@code parser}.
   *
   * @param parser throws {@link IllegalArgumentException} if the text is invalid
   * @param expected the description of a valid value for the error message
   */
  public <T> T parsed(String key, Function<String, T> parser, String expected) {
    String text = text(key);
    try {
      return parser.apply(text);
    } catch (IllegalArgumentException e) {
      throw problem(key, expected);
    }
  }

  /** Returns a required integer from {@code min} to {@code max}, inclusive. */
  public int integer(String key, int min, int max) {
    String expected = String.format("a whole number from %d to %d", min, max);
    String text = scalar(key, ScalarNode.Kind.INTEGER, expected);
    long value = parseLong(text).orElseThrow(() -> problem(key, expected));
    if (value < min || value > max) {
      throw problem(key, expected);
    }
    return (int) value;
  }

  /**
   * Returns an optional integer from {@code min} to {@code max}, inclusive, or {@code defaultValue}
   * if the key is missing.
   */
  public int integer(String key, int min, int max, int defaultValue) {
    return has(key) ? integer(key, min, max) : defaultValue;
  }

  /** Returns an optional boolean, or {@code defaultValue} if the key is missing. */
  public boolean flag(String key, boolean defaultValue) {
    if (!has(key)) {
      return defaultValue;
    }
    return Boolean.parseBoolean(scalar(key, ScalarNode.Kind.BOOLEAN, "true or false"));
  }

  /** Returns a required enum constant, which is written under its own name. */
  public <E extends Enum<E>> E choice(String key, Class<E> type) {
    String expected = "one of " + Joiner.on(", ").join(type.getEnumConstants());
    String text = scalar(key, ScalarNode.Kind.TEXT, expected);
    return Arrays.stream(type.getEnumConstants())
        .filter(constant -> constant.name().equals(text))
        .findFirst()
        .orElseThrow(() -> problem(key, expected));
  }

  /**
   * Returns a required duration from {@code min} to {@code max}, inclusive.
   *
   * <p>Durations are written as {@code 250ms}, {@code 2s}, {@code 7m} or {@code 1h}.
   */
  public Duration duration(String key, Duration min, Duration max) {
    String expected =
        String.format(
            "a duration from %s to %s, such as 250ms, 2s, 7m or 1h",
            Durations.format(min), Durations.format(max));
    String text = scalar(key, ScalarNode.Kind.TEXT, expected);
    return Durations.parse(text)
        .filter(value -> value.compareTo(min) >= 0 && value.compareTo(max) <= 0)
        .orElseThrow(() -> problem(key, expected));
  }

  /** Returns the mapping under a required key. */
  public MappingNode mapping(String key) {
    if (required(key, "a mapping").value() instanceof MappingNode mapping) {
      return mapping;
    }
    throw problem(key, "a mapping");
  }

  /** Returns the mapping under an optional key, or empty if the key is missing. */
  public Optional<MappingNode> optionalMapping(String key) {
    return has(key) ? Optional.of(mapping(key)) : Optional.empty();
  }

  /** Returns the mappings in an optional list, or an empty list if the key is missing. */
  public ImmutableList<MappingNode> mappings(String key) {
    if (!has(key)) {
      return ImmutableList.of();
    }
    if (!(required(key, "a list").value() instanceof SequenceNode sequence)) {
      throw problem(key, "a list of mappings");
    }
    ImmutableList.Builder<MappingNode> mappings = ImmutableList.builder();
    for (int i = 0; i < sequence.items().size(); i++) {
      YamlNode item = sequence.items().get(i);
      if (!(item instanceof MappingNode mapping)) {
        String itemPath = join(path, key) + "[" + i + "]";
        throw DocumentException.of(
            context.source(), item.line(), itemPath, item.describe(), "a mapping");
      }
      mappings.add(mapping);
    }
    return mappings.build();
  }

  /**
   * Returns all values of this mapping by key, each of which must be a mapping.
   *
   * <p>Reads mappings whose keys are names that the user chooses and not fixed words.
   */
  public ImmutableMap<String, MappingNode> mappingsByName() {
    ImmutableMap.Builder<String, MappingNode> mappings = ImmutableMap.builder();
    for (String name : entries.keySet()) {
      readKeys.add(name);
      MappingNode mapping = mapping(name);
      mapping.schemaPath = join(schemaPath, "*");
      mappings.put(name, mapping);
    }
    return mappings.buildOrThrow();
  }

  /**
   * Checks that all keys of this mapping have been read.
   *
   * @throws DocumentException at the first unknown key
   */
  public void finish() {
    for (String key : entries.keySet()) {
      if (!readKeys.contains(key)) {
        throw problem(key, "an unknown key", "one of " + Joiner.on(", ").join(readKeys));
      }
    }
  }

  /**
   * Returns an error about a key, which describes the value found.
   *
   * @param expected the description of a valid value
   */
  public DocumentException problem(String key, String expected) {
    Entry entry = entries.get(key);
    return problem(key, entry == null ? "no such key" : entry.value().describe(), expected);
  }

  /**
   * Returns an error about a key.
   *
   * @param found the description of the invalid value
   * @param expected the description of a valid value
   */
  public DocumentException problem(String key, String found, String expected) {
    Entry entry = entries.get(key);
    int errorLine = entry == null ? line : entry.line();
    return DocumentException.of(context.source(), errorLine, join(path, key), found, expected);
  }

  private String scalar(String key, ScalarNode.Kind kind, String expected) {
    YamlNode value = required(key, expected).value();
    if (value instanceof ScalarNode scalar && scalar.kind() == kind) {
      return scalar.text();
    }
    throw problem(key, expected);
  }

  private Entry required(String key, String expected) {
    Entry entry = find(key);
    if (entry == null) {
      throw problem(key, expected);
    }
    return entry;
  }

  private @Nullable Entry find(String key) {
    if (readKeys.add(key)) {
      context.listener().onKeyRead(join(schemaPath, key));
    }
    return entries.get(key);
  }

  private static Optional<Long> parseLong(String text) {
    boolean isDecimal = text.matches("-?(0|[1-9][0-9]{0,17})");
    return isDecimal ? Optional.of(Long.valueOf(text)) : Optional.empty();
  }
}
