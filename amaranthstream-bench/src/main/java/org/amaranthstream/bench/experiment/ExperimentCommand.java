package org.amaranthstream.bench.experiment;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.amaranthstream.bench.BenchCommand;
import org.amaranthstream.standins.server.Json;

/**
 * Command that runs daemons and stand-ins as processes under load and faults and writes the
 * measurements as JSON lines, a table and plots.
 */
public final class ExperimentCommand implements BenchCommand {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Splitter COMMAS = Splitter.on(',').trimResults().omitEmptyStrings();

  @Override
  public String name() {
    return "experiment";
  }

  @Override
  public void configure(Subparser parser) {
    parser.help("measure policies under load and faults").defaultHelp(true);
    parser.addArgument("--user").setDefault("division").help("division or shekerli");
    parser
        .addArgument("--load")
        .setDefault("0.9")
        .help("multiples of the capacity, separated by commas");
    parser.addArgument("--fault").setDefault("none").help("faults, separated by commas");
    parser
        .addArgument("--policy")
        .setDefault("amaranthstream,baseline")
        .help("policies, separated by commas");
    parser.addArgument("--seeds").type(Integer.class).setDefault(3).help("number of seeds");
    parser
        .addArgument("--seconds")
        .type(Integer.class)
        .setDefault(30)
        .help("measured time of a run, in s");
    parser.addArgument("--out").setDefault("docs/measurements").help("output folder");
    parser.addArgument("--name").setDefault("experiment").help("base name of the output files");
    parser
        .addArgument("--table-only")
        .action(Arguments.storeTrue())
        .help("write the table and plots of earlier results without new runs");
  }

  @Override
  public int run(Namespace arguments) {
    ExperimentPlan plan = readPlan(arguments);
    try {
      if (!arguments.getBoolean("table_only")) {
        new Experiment(plan, Files.createTempDirectory("amaranthstream-bench")).run();
      }
      writeReport(plan);
      return 0;
    } catch (IOException | RuntimeException e) {
      logger.atSevere().withCause(e).log("event=experiment_failed");
      return 1;
    }
  }

  private static void writeReport(ExperimentPlan plan) throws IOException {
    List<RunResult> results = new ArrayList<>();
    for (String line : Files.readAllLines(plan.resultsFile())) {
      results.add(Json.read(Buffer.buffer(line), RunResult.class));
    }
    Files.writeString(plan.tableFile(), ResultTable.of(results));
    writePlot(plan, results, "trainer idle share", RunResult::trainerIdleShare);
    writePlot(plan, results, "share of calls in time", RunResult::callsInTimeShare);
    writePlot(plan, results, "goodput per s", RunResult::goodputPerSecond);
  }

  private static void writePlot(
      ExperimentPlan plan,
      List<RunResult> results,
      String title,
      ToDoubleFunction<RunResult> metric)
      throws IOException {
    String file = plan.name() + "-" + title.replace(' ', '-') + ".svg";
    ResultPlot.write(results, title, metric, plan.outputFolder().resolve(file));
  }

  private static ExperimentPlan readPlan(Namespace arguments) {
    return new ExperimentPlan(
        User.of(arguments.getString("user")),
        parseList(arguments, "policy", Policy::of),
        parseList(arguments, "load", Double::valueOf),
        parseList(arguments, "fault", Fault::of),
        arguments.getInt("seeds"),
        arguments.getInt("seconds"),
        Path.of(arguments.getString("out")),
        arguments.getString("name"));
  }

  private static <T> ImmutableList<T> parseList(
      Namespace arguments, String key, Function<String, T> parse) {
    return COMMAS
        .splitToStream(arguments.getString(key))
        .map(parse)
        .collect(ImmutableList.toImmutableList());
  }
}
