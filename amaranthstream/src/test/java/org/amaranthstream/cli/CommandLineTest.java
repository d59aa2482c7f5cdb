package org.amaranthstream.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.amaranthstream.admin.AdminServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CommandLineTest {
  private static final String YAML = "pools:\n  one:\n    kind: PLAIN_SERVICE\n";

  @TempDir private Path folder;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private ExitCode run(String... arguments) {
    out.reset();
    err.reset();
    Terminal terminal = new Terminal(new PrintStream(out), new PrintStream(err));
    return CommandLine.run(terminal, arguments);
  }

  private String out() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String err() {
    return err.toString(StandardCharsets.UTF_8);
  }

  private String write(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text).toString();
  }

  @Nested
  class Usage {
    @Test
    void isPrintedForInvalidCommandLines() {
      assertThat(run()).isEqualTo(ExitCode.USAGE);
      assertThat(run("fly")).isEqualTo(ExitCode.USAGE);
      assertThat(run("check")).isEqualTo(ExitCode.USAGE);
      assertThat(err()).contains("--settings");
    }

    @Test
    void printsTheVersion() {
      assertThat(run("version")).isEqualTo(ExitCode.OK);
      assertThat(out()).startsWith("amaranthstream ");
    }
  }

  @Nested
  class Check {
    @Test
    void reportsTheErrorOfAnInvalidFile() throws IOException {
      String file = write("settings.yaml", "vm: 1\n");
      assertThat(run("check", "--settings", file)).isEqualTo(ExitCode.INVALID);
      assertThat(err()).contains("settings.yaml:1: key vm: found whole number 1, expected text");
    }

    @Test
    void acceptsTheExamples() throws IOException {
      write("peer.key", "p".repeat(32));
      write("delivery.key", "d".repeat(32));
      write("operator.token", "operator-token-0001");
      Files.createDirectory(folder.resolve("data"));
      String settings =
          write("settings.yaml", Files.readString(Path.of("../docs/examples/settings.yaml")));
      String config =
          write("config.yaml", Files.readString(Path.of("../docs/examples/config.yaml")));
      assertThat(run("check", "--settings", settings, "--config", config)).isEqualTo(ExitCode.OK);
      assertThat(out()).contains("config.yaml: ok");
      String invalid = write("bad.yaml", "pools: []\n");
      assertThat(run("check", "--settings", settings, "--config", invalid))
          .isEqualTo(ExitCode.INVALID);
      assertThat(err()).contains("bad.yaml:1: key pools: found a list of 0, expected a mapping");
    }
  }

  @Nested
  class Administration {
    private final AdminServer server = new AdminServer();
    private String token;
    private String config;

    @BeforeEach
    void writeFiles() throws IOException {
      token = write("token", AdminServer.OPERATOR + "\n");
      config = write("config.yaml", YAML);
    }

    @AfterEach
    void stop() {
      server.close();
    }

    private ExitCode put(String generation) {
      return run(
          "config",
          "put",
          "--file",
          config,
          "--generation",
          generation,
          "--url",
          server.url(),
          "--token-file",
          token);
    }

    private ExitCode runAdminCommand(String... command) {
      String[] options = {"--url", server.url(), "--token-file", token};
      String[] all = new String[command.length + options.length];
      System.arraycopy(command, 0, all, 0, command.length);
      System.arraycopy(options, 0, all, command.length, options.length);
      return run(all);
    }

    @Test
    void changesAndPrintsTheConfiguration() {
      assertThat(put("0")).isEqualTo(ExitCode.OK);
      assertThat(out()).isEqualTo("generation 1 is accepted\n");
      assertThat(put("0")).isEqualTo(ExitCode.CONFLICT);
      assertThat(err()).contains("407 CONFIG_CONFLICT: the configuration is at generation 1");
      assertThat(runAdminCommand("config", "get")).isEqualTo(ExitCode.OK);
      assertThat(out()).isEqualTo("# generation 1\n" + YAML);
      assertThat(runAdminCommand("config", "history")).isEqualTo(ExitCode.OK);
      assertThat(out()).contains("pools added [one]");
    }

    @Test
    void printsTheExplanationAndTheState() {
      assertThat(runAdminCommand("explain", "a-1/9f/1")).isEqualTo(ExitCode.OK);
      assertThat(out()).isEqualTo("After 0 ms: admitted.\n");
      assertThat(runAdminCommand("explain", "a-1/9f/2")).isEqualTo(ExitCode.FAILED);
      assertThat(err()).contains("506 RECORD_LOST: the record is gone");
      assertThat(runAdminCommand("status")).isEqualTo(ExitCode.OK);
      assertThat(out()).contains("vm                   a-1");
      assertThat(runAdminCommand("dump")).isEqualTo(ExitCode.OK);
      assertThat(out()).contains("\"config\"");
    }

    @Test
    void reportsThatTheDaemonIsUnreachable() {
      server.close();
      assertThat(runAdminCommand("status")).isEqualTo(ExitCode.UNAVAILABLE);
      assertThat(err()).contains("503 PEER_UNREACHABLE: no connection to http://127.0.0.1");
    }
  }
}
