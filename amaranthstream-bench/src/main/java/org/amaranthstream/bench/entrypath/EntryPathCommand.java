package org.amaranthstream.bench.entrypath;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.amaranthstream.bench.BenchCommand;
import org.amaranthstream.bench.experiment.SingleDaemon;
import org.amaranthstream.standins.server.Json;

/** Command that compares calls through a daemon with direct calls to the same stand-in. */
public final class EntryPathCommand implements BenchCommand {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  @Override
  public String name() {
    return "entry-path";
  }

  @Override
  public void configure(Subparser parser) {
    parser
        .help("measure the latency and processor time that a daemon adds to a call")
        .defaultHelp(true);
    parser
        .addArgument("--callers")
        .type(Integer.class)
        .setDefault(4)
        .help("number of concurrent calls");
    parser
        .addArgument("--rounds")
        .type(Integer.class)
        .setDefault(5)
        .help("number of rounds, each of direct calls and calls through the daemon");
    parser
        .addArgument("--seconds")
        .type(Integer.class)
        .setDefault(4)
        .help("duration of either part of a round, in s");
    parser.addArgument("--out").setDefault("docs/measurements").help("output folder");
  }

  @Override
  public int run(Namespace arguments) {
    try (SingleDaemon daemon =
            SingleDaemon.start(Files.createTempDirectory("amaranthstream-entry"));
        EntryPathMeasurement measurement =
            new EntryPathMeasurement(daemon, arguments.getInt("callers"))) {
      EntryPathResult result =
          measurement.measure(arguments.getInt("rounds"), arguments.getInt("seconds"));
      append(Path.of(arguments.getString("out")), Json.text(result));
      return 0;
    } catch (IOException | RuntimeException e) {
      logger.atSevere().withCause(e).log("event=entry_path_failed");
      return 1;
    }
  }

  private static void append(Path out, String line) throws IOException {
    System.out.println(line);
    Files.createDirectories(out);
    Files.writeString(
        out.resolve("entry-path.jsonl"),
        line + "\n",
        StandardOpenOption.CREATE,
        StandardOpenOption.APPEND);
  }
}
