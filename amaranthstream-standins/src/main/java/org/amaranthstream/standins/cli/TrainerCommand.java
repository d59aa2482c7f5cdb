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

/** The subcommand that runs a trainer. */
final class TrainerCommand {
  private static final Splitter COMMAS = Splitter.on(',').omitEmptyStrings().trimResults();
  private static final int EXIT_PROMISE_BROKEN = 2;

  private TrainerCommand() {}

  static void addTo(Subparsers commands) {
    Subparser parser = commands.addParser("trainer").help("trainer that checks its samples");
    parser.addArgument("--daemons").required(true).help("base URLs, separated by commas");
    parser.addArgument("--token").help("bearer token");
    parser.addArgument("--name").setDefault("trainer-1").help("name of the trainer");
    parser.addArgument("--class").dest("workClass").setDefault("rollout").help("class of work");
    parser.addArgument("--model").setDefault("coder").help("model that it trains");
    parser.addArgument("--weight-store").help("base URL of the weight store");
    parser.addArgument("--engines").setDefault("").help("base URLs of engines, for their ledgers");
    Arguments.number(parser, "--steps", 10, "steps to train");
    Arguments.number(parser, "--groups", 8, "groups of a step");
    Arguments.number(parser, "--samples-per-group", 8, "samples of a group");
    Arguments.number(parser, "--max-tokens", 64, "greatest number of tokens of a sample");
    Arguments.number(parser, "--train-ms", 500, "time that training on a step takes, in ms");
    Arguments.number(parser, "--horizon", 2, "steps submitted ahead");
    Arguments.number(parser, "--staleness-bound", 4, "greatest age of a sample, in versions");
    Arguments.number(parser, "--first-version", 1, "weight version at the start");
    Arguments.number(parser, "--seconds", 600, "time after which no further step is begun, in s");
  }

  /** Runs the trainer; the exit code tells whether every promise held. */
  static int run(Namespace args) {
    TrainerReport report = new TrainerStandin(options(args)).run();
    System.out.println(report.summaryLine());
    return report.hasNoViolations() ? 0 : EXIT_PROMISE_BROKEN;
  }

  private static TrainerOptions options(Namespace args) {
    return TrainerOptions.builder()
        .daemons(list(args, "daemons"))
        .token(Optional.ofNullable(args.getString("token")))
        .trainer(args.getString("name"))
        .workClass(args.getString("workClass"))
        .model(args.getString("model"))
        .weightStore(Optional.ofNullable(args.getString("weight_store")))
        .engines(list(args, "engines"))
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

  private static List<String> list(Namespace args, String key) {
    return COMMAS.splitToList(args.getString(key));
  }
}
