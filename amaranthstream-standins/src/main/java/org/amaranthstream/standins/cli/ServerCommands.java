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

/** The subcommands that start a server. */
final class ServerCommands {
  private ServerCommands() {}

  static void addTo(Subparsers commands) {
    add(commands, "kv", "key-value service and list of VMs");
    addEngine(add(commands, "engine", "model engine"));
    addService(add(commands, "service", "plain service"));
    addWeights(add(commands, "weights", "weight store"));
    add(commands, "scorer", "service that scores samples");
  }

  static Standin start(String command, Namespace args) {
    return switch (command) {
      case "kv" -> listen(KvStandin.builder(), args).start();
      case "engine" -> engine(args).start();
      case "service" -> service(args).start();
      case "weights" -> weights(args).start();
      case "scorer" -> listen(ScorerStandin.builder(), args).start();
      default -> throw new IllegalArgumentException("unknown command: " + command);
    };
  }

  private static Subparser add(Subparsers commands, String name, String help) {
    Subparser parser = commands.addParser(name).help(help);
    parser.addArgument("--host").setDefault("127.0.0.1").help("address to listen at");
    parser.addArgument("--port").type(Integer.class).setDefault(0).help("port, 0 for a free one");
    return parser;
  }

  private static void addEngine(Subparser parser) {
    Arguments.number(parser, "--slots", 8, "requests that run at once");
    Arguments.number(parser, "--queue", 64, "requests that may wait for a slot");
    parser.addArgument("--token-interval-ms").type(Double.class).setDefault(5.0);
    Arguments.number(parser, "--tokens-per-chunk", 4, "tokens on one line of the stream");
    Arguments.number(parser, "--max-batch", 8, "running requests above which tokens come slower");
    Arguments.number(
        parser, "--prefill-ms", 20, "time to the first token without a cache hit, in ms");
    Arguments.number(parser, "--cache-entries", 64, "prefixes that the cache holds");
    Arguments.number(
        parser, "--report-lag-ms", 0, "period at which the load report is taken, in ms");
    Arguments.number(parser, "--swap-ms", 50, "time that loading a version takes, in ms");
    Arguments.number(parser, "--version", 1, "weight version at the start");
    parser.addArgument("--checks-fencing").type(Boolean.class).setDefault(true);
  }

  private static void addService(Subparser parser) {
    Arguments.number(parser, "--slots", 16, "calls that run at once");
    Arguments.number(parser, "--queue", 64, "calls that may wait for a slot");
    parser.addArgument("--service-ms").type(Double.class).setDefault(10.0);
  }

  private static void addWeights(Subparser parser) {
    parser.addArgument("--rate-mbit").type(Double.class).setDefault(300.0).help("in Mbit/s");
    Arguments.number(parser, "--size-kb", 1024, "size of one version's weights, in KB");
  }

  private static EngineStandin.Builder engine(Namespace args) {
    return listen(EngineStandin.builder(), args)
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

  private static ServiceStandin.Builder service(Namespace args) {
    return listen(ServiceStandin.builder(), args)
        .slots(args.getInt("slots"))
        .queue(args.getInt("queue"))
        .serviceMs(args.getDouble("service_ms"));
  }

  private static WeightStoreStandin.Builder weights(Namespace args) {
    return listen(WeightStoreStandin.builder(), args)
        .megabitsPerSecond(args.getDouble("rate_mbit"))
        .sizeBytes(args.getInt("size_kb") * 1024L);
  }

  private static <B extends StandinBuilder<B>> B listen(B builder, Namespace args) {
    return builder.host(args.getString("host")).port(args.getInt("port")).crashMode(CrashMode.HALT);
  }
}
