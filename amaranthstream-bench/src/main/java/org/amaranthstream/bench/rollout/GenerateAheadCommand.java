package org.amaranthstream.bench.rollout;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.amaranthstream.bench.BenchCommand;
import org.amaranthstream.config.PriorityTarget;
import org.amaranthstream.rollout.FixedGenerateAhead;
import org.amaranthstream.rollout.GenerateAhead;
import org.amaranthstream.rollout.MeasuredGenerateAhead;

/**
 * Command that compares policies for the number of steps ahead, in a simulation in virtual time.
 */
public final class GenerateAheadCommand implements BenchCommand {
  private static final int STEPS = 200;
  private static final int DIVISION_SLOTS = 128;
  private static final int SHEKERLI_SLOTS = 96;
  private static final int SAMPLES_PER_STEP = 512;
  private static final int STALENESS_BOUND = 4;
  private static final double SWAP_SECONDS = 6;
  private static final double SAMPLE_SPREAD = 0.6;
  private static final double[] TRAINING_SECONDS = {60, 120, 240};
  private static final double[] TRAINING_SPREADS = {0.1, 0.5};
  private static final double SAMPLE_SECONDS = 22;

  @Override
  public String name() {
    return "generate-ahead";
  }

  @Override
  public void configure(Subparser parser) {
    parser.help("compare policies for the number of steps ahead in a simulation");
    parser
        .addArgument("--seeds")
        .type(Integer.class)
        .setDefault(5)
        .help("number of seeds, each of which is one run");
  }

  @Override
  public int run(Namespace arguments) {
    int seeds = arguments.getInt("seeds");
    System.out.println(
        "| user | training s (spread) | policy | idle share, median (least to most) | staleness"
            + " median / p99 / max | dropped share | mean steps ahead |");
    System.out.println("|---|---|---|---|---|---|---|");
    for (PriorityTarget priority : PriorityTarget.values()) {
      for (double training : TRAINING_SECONDS) {
        for (double spread : TRAINING_SPREADS) {
          policies()
              .forEach((name, policy) -> printRow(priority, training, spread, name, policy, seeds));
        }
      }
    }
    return 0;
  }

  private static ImmutableMap<String, GenerateAhead> policies() {
    return ImmutableMap.of(
        "k=0", new FixedGenerateAhead(0),
        "k=1", new FixedGenerateAhead(1),
        "k=2", new FixedGenerateAhead(2),
        "k=4", new FixedGenerateAhead(4),
        "measured", MeasuredGenerateAhead.create());
  }

  private static void printRow(
      PriorityTarget priority,
      double training,
      double spread,
      String name,
      GenerateAhead policy,
      int seeds) {
    boolean isDivision = priority == PriorityTarget.IDLE_TIME;
    SimulationParameters parameters =
        new SimulationParameters(
            isDivision ? DIVISION_SLOTS : SHEKERLI_SLOTS,
            SAMPLES_PER_STEP,
            SAMPLE_SECONDS,
            SAMPLE_SPREAD,
            training,
            spread,
            SWAP_SECONDS,
            STALENESS_BOUND);
    List<GenerateAheadResult> results = new ArrayList<>();
    for (int seed = 1; seed <= seeds; seed++) {
      results.add(new GenerateAheadSimulation(parameters, priority, policy, seed).run(STEPS));
    }
    System.out.printf(
        Locale.ROOT,
        "| %s | %.0f (%.1f) | %s | %.3f (%.3f to %.3f) | %.0f / %.0f / %.0f | %.4f | %.2f |%n",
        isDivision ? "Division" : "Shekerli",
        training,
        spread,
        name,
        median(results, GenerateAheadResult::idleShare),
        results.stream().mapToDouble(GenerateAheadResult::idleShare).min().orElseThrow(),
        results.stream().mapToDouble(GenerateAheadResult::idleShare).max().orElseThrow(),
        median(results, GenerateAheadResult::stalenessMedian),
        median(results, GenerateAheadResult::stalenessP99),
        results.stream().mapToDouble(GenerateAheadResult::stalenessMax).max().orElseThrow(),
        median(results, GenerateAheadResult::droppedShare),
        median(results, GenerateAheadResult::meanStepsAhead));
  }

  private static double median(
      List<GenerateAheadResult> results, ToDoubleFunction<GenerateAheadResult> value) {
    double[] sorted = results.stream().mapToDouble(value).sorted().toArray();
    return sorted[sorted.length / 2];
  }
}
