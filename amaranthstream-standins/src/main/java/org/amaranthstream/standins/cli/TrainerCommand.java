package org.amaranthstream.standins.cli;

import com.google.common.base.Splitter;
import java.util.List;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.amaranthstream.standins.trainer.TrainerOptions;
import org.amaranthstream.standins.trainer.TrainerReport;
import org.amaranthstream.standins.trainer.TrainerStandin;

/** Subcommand that runs a trainer and reports violated guarantees by its exit code. */
final class TrainerCommand {
  private static final Splitter COMMAS = Splitter.on(',').omitEmptyStrings().trimResults();
  private static final int EXIT_VIOLATION = 2;

  private TrainerCommand() {}

  /** Adds the subcommand to {@code commands}. */
  static void addTo(Subparsers commands) {
    Subparser parser = commands.addParser("trainer").help("trainer that verifies its samples");
    parser.addArgument("--daemons").required(true).help("base URLs, separated by commas");
    parser.addArgument("--token").help("bearer token");
    parser.addArgument("--name").setDefault("trainer-1").help("name of the trainer");
    parser
        .addArgument("--class")
        .dest("workClass")
        .setDefault("rollout")
        .help("work class of the samples");
    parser.addArgument("--model").setDefault("coder").help("model to train");
    parser.addArgument("--weight-store").help("base URL of the weight store");
    parser
        .addArgument("--engines")
        .setDefault("")
        .help("base URLs of engines whose ledgers are read, separated by commas");
    Arguments.addInteger(parser, "--steps", 10, "number of steps");
    Arguments.addInteger(parser, "--groups", 8, "groups in a step");
    Arguments.addInteger(parser, "--samples-per-group", 8, "samples in a group");
    Arguments.addInteger(parser, "--max-tokens", 64, "maximum number of tokens in a sample");
    Arguments.addInteger(parser, "--train-ms", 500, "training time of a step, in ms");
    Arguments.addInteger(parser, "--horizon", 2, "steps submitted ahead of the current one");
    Arguments.addInteger(
        parser, "--staleness-bound", 4, "maximum staleness of a sample, in versions");
    Arguments.addInteger(parser, "--first-version", 1, "initial weight version");
    Arguments.addInteger(parser, "--seconds", 600, "time after which no further step starts, in s");
  }

  /**
   * Runs the trainer and prints its report.
   *
   * @return the exit code: 0 if no guarantee was violated
   */
  static int run(Namespace args) {
    TrainerReport report = new TrainerStandin(options(args)).run();
    System.out.println(report.summaryLine());
    return report.hasNoViolations() ? 0 : EXIT_VIOLATION;
  }

  private static TrainerOptions options(Namespace args) {
    return TrainerOptions.builder()
        .daemons(splitList(args, "daemons"))
        .token(Optional.ofNullable(args.getString("token")))
        .trainer(args.getString("name"))
        .workClass(args.getString("workClass"))
        .model(args.getString("model"))
        .weightStore(Optional.ofNullable(args.getString("weight_store")))
        .engines(splitList(args, "engines"))
        .steps(args.getInt("steps"))
        .groups(args.getInt("groups"))
        .samplesPerGroup(args.getInt("samples_per_group"))
        .maxTokens(args.getInt("max_tokens"))
        .trainMs(args.getInt("train_ms"))
        .horizon(args.getInt("horizon"))
        .stalenessBound(args.getInt("staleness_bound"))
        .firstVersion(args.getInt("first_version"))
        .timeLimitMs(args.getInt("seconds") * 1000L)
        .build();
  }

  private static List<String> splitList(Namespace args, String key) {
    return COMMAS.splitToList(args.getString(key));
  }
}
