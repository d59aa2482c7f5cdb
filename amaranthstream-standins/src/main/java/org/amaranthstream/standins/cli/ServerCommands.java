package org.amaranthstream.standins.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.amaranthstream.standins.engine.EngineStandin;
import org.amaranthstream.standins.kv.KvStandin;
import org.amaranthstream.standins.server.CrashMode;
import org.amaranthstream.standins.server.Standin;
import org.amaranthstream.standins.server.StandinBuilder;
import org.amaranthstream.standins.service.ScorerStandin;
import org.amaranthstream.standins.service.ServiceStandin;
import org.amaranthstream.standins.weights.WeightStoreStandin;

/** Subcommands that start a server, one for each server stand-in. */
final class ServerCommands {
  private ServerCommands() {}

  /** Adds the subcommands to {@code commands}. */
  static void addTo(Subparsers commands) {
    add(commands, "kv", "key-value service and list of VMs");
    addEngine(add(commands, "engine", "model engine"));
    addService(add(commands, "service", "plain service"));
    addWeights(add(commands, "weights", "weight store"));
    add(commands, "scorer", "service that scores samples");
  }

  /**
   * Starts the server of a subcommand.
   *
   * @throws IllegalArgumentException if {@code command} is not a server subcommand
   */
  static Standin start(String command, Namespace args) {
    return switch (command) {
      case "kv" -> applyCommonOptions(KvStandin.builder(), args).start();
      case "engine" -> engineBuilder(args).start();
      case "service" -> serviceBuilder(args).start();
      case "weights" -> weightStoreBuilder(args).start();
      case "scorer" -> applyCommonOptions(ScorerStandin.builder(), args).start();
      default -> throw new IllegalArgumentException("unknown command: " + command);
    };
  }

  private static Subparser add(Subparsers commands, String name, String help) {
    Subparser parser = commands.addParser(name).help(help);
    parser.addArgument("--host").setDefault("127.0.0.1").help("address to listen on");
    parser.addArgument("--port").type(Integer.class).setDefault(0).help("port, 0 for a free one");
    return parser;
  }

  private static void addEngine(Subparser parser) {
    Arguments.addInteger(parser, "--slots", 8, "requests that run concurrently");
    Arguments.addInteger(parser, "--queue", 64, "capacity of the queue, in requests");
    parser.addArgument("--token-interval-ms").type(Double.class).setDefault(5.0);
    Arguments.addInteger(parser, "--tokens-per-chunk", 4, "tokens on one line of the stream");
    Arguments.addInteger(
        parser, "--max-batch", 8, "running requests above which the token interval grows");
    Arguments.addInteger(
        parser, "--prefill-ms", 20, "time to the first token on a prefix cache miss, in ms");
    Arguments.addInteger(parser, "--cache-entries", 64, "capacity of the prefix cache, in entries");
    Arguments.addInteger(
        parser,
        "--report-lag-ms",
        0,
        "refresh interval of the load report, in ms; 0 reports the current load");
    Arguments.addInteger(parser, "--swap-ms", 50, "duration of a weight swap, in ms");
    Arguments.addInteger(parser, "--version", 1, "initial weight version");
    parser.addArgument("--checks-fencing").type(Boolean.class).setDefault(true);
  }

  private static void addService(Subparser parser) {
    Arguments.addInteger(parser, "--slots", 16, "calls that run concurrently");
    Arguments.addInteger(parser, "--queue", 64, "capacity of the queue, in calls");
    parser.addArgument("--service-ms").type(Double.class).setDefault(10.0);
  }

  private static void addWeights(Subparser parser) {
    parser.addArgument("--rate-mbit").type(Double.class).setDefault(300.0).help("in Mbit/s");
    Arguments.addInteger(parser, "--size-kb", 1024, "size of one version's weights, in KB");
  }

  private static EngineStandin.Builder engineBuilder(Namespace args) {
    return applyCommonOptions(EngineStandin.builder(), args)
        .slots(args.getInt("slots"))
        .queue(args.getInt("queue"))
        .tokenIntervalMs(args.getDouble("token_interval_ms"))
        .tokensPerChunk(args.getInt("tokens_per_chunk"))
        .maxBatch(args.getInt("max_batch"))
        .prefillMs(args.getInt("prefill_ms"))
        .cacheEntries(args.getInt("cache_entries"))
        .reportLagMs(args.getInt("report_lag_ms"))
        .swapMs(args.getInt("swap_ms"))
        .version(args.getInt("version"))
        .checksFencing(args.getBoolean("checks_fencing"));
  }

  private static ServiceStandin.Builder serviceBuilder(Namespace args) {
    return applyCommonOptions(ServiceStandin.builder(), args)
        .slots(args.getInt("slots"))
        .queue(args.getInt("queue"))
        .serviceMs(args.getDouble("service_ms"));
  }

  private static WeightStoreStandin.Builder weightStoreBuilder(Namespace args) {
    return applyCommonOptions(WeightStoreStandin.builder(), args)
        .megabitsPerSecond(args.getDouble("rate_mbit"))
        .sizeBytes(args.getInt("size_kb") * 1024L);
  }

  private static <B extends StandinBuilder<B>> B applyCommonOptions(B builder, Namespace args) {
    return builder.host(args.getString("host")).port(args.getInt("port")).crashMode(CrashMode.HALT);
  }
}
