package org.amaranthstream;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Imports between the packages of the product point to the same layer or to a lower one. */
class ImportDirectionTest {
  private static final Path SOURCES = Path.of("src/main/java/org/amaranthstream");
  private static final Pattern USE = Pattern.compile("\\borg\\.amaranthstream\\.([a-z]+)\\.");

  private static final ImmutableList<ImmutableList<String>> LAYERS =
      ImmutableList.of(
          ImmutableList.of("ids", "result", "time", "ring", "logs", "http", "memory"),
          ImmutableList.of("yaml", "auth", "workspaces", "routing"),
          ImmutableList.of("platform", "config", "membership", "decisions", "settings"),
          ImmutableList.of(
              "admission", "placement", "servers", "prompts", "slots", "calls", "quarantine"),
          ImmutableList.of("dispatch"),
          ImmutableList.of("peer", "rollout", "once", "idempotency", "weights"),
          ImmutableList.of("fleet"),
          ImmutableList.of("jobs", "usage", "duties", "scaling"),
          ImmutableList.of("ingress", "admin", "metrics"),
          ImmutableList.of("daemon", "cli", "demo"));

  private static ImmutableMap<String, Integer> layers() {
    ImmutableMap.Builder<String, Integer> layers = ImmutableMap.builder();
    for (int layer = 0; layer < LAYERS.size(); layer++) {
      for (String name : LAYERS.get(layer)) {
        layers.put(name, layer);
      }
    }
    return layers.buildOrThrow();
  }

  /** Returns the uses in {@code source}, a file of {@code from}, that point upwards. */
  private static List<String> forbidden(String from, String source) {
    ImmutableMap<String, Integer> layers = layers();
    List<String> found = new ArrayList<>();
    Matcher matcher = USE.matcher(source);
    while (matcher.find()) {
      String to = matcher.group(1);
      boolean isFront = to.equals("ingress") || to.equals("admin");
      boolean isWiring = layers.get(from) == LAYERS.size() - 1;
      boolean isUpwards = layers.getOrDefault(to, LAYERS.size()) > layers.get(from);
      if (isUpwards || (isFront && !isWiring && !to.equals(from))) {
        found.add(from + " -> " + to);
      }
    }
    return found;
  }

  @Test
  void findsForbiddenImports() {
    assertThat(forbidden("ids", "import org.amaranthstream.result.Result;")).isEmpty();
    assertThat(forbidden("ids", "import org.amaranthstream.config.Pool;"))
        .containsExactly("ids -> config");
    assertThat(forbidden("peer", "import static org.amaranthstream.ingress.Json.read;"))
        .containsExactly("peer -> ingress");
    assertThat(forbidden("metrics", "import org.amaranthstream.admin.StateDump;"))
        .containsExactly("metrics -> admin");
    assertThat(forbidden("cli", "import org.amaranthstream.admin.StateDump;")).isEmpty();
  }

  @Test
  void productHasNone() throws IOException {
    List<String> found = new ArrayList<>();
    try (Stream<Path> files = Files.walk(SOURCES)) {
      files
          .filter(file -> file.toString().endsWith(".java"))
          .forEach(file -> found.addAll(forbiddenIn(file)));
    }
    assertThat(found).isEmpty();
  }

  private static List<String> forbiddenIn(Path file) {
    String from = SOURCES.relativize(file).getName(0).toString();
    assertWithMessage("layer of package %s", from).that(layers()).containsKey(from);
    try {
      return forbidden(from, Files.readString(file)).stream()
          .map(use -> use + " in " + file.getFileName())
          .toList();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
