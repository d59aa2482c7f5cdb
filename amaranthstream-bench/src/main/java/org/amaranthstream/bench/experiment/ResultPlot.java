package org.amaranthstream.bench.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Writer of SVG plots of a metric by load, with one line for each policy. */
final class ResultPlot {
  private static final int WIDTH = 640;
  private static final int HEIGHT = 400;

  private ResultPlot() {}

  /** Writes the plot of a metric over the runs without a fault, if there are any. */
  static void write(
      List<RunResult> results, String title, ToDoubleFunction<RunResult> metric, Path file)
      throws IOException {
    List<RunResult> withoutFault =
        results.stream().filter(run -> run.fault().equals(Fault.NONE.label())).toList();
    if (withoutFault.isEmpty()) {
      return;
    }
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle("interactive load, times capacity")
            .yAxisTitle(title)
            .build();
    for (String policy : policies(withoutFault)) {
      List<RunResult> runs =
          withoutFault.stream().filter(run -> run.policy().equals(policy)).toList();
      double[] loads = runs.stream().mapToDouble(RunResult::load).distinct().sorted().toArray();
      double[] medians = new double[loads.length];
      for (int i = 0; i < loads.length; i++) {
        double load = loads[i];
        List<RunResult> atLoad = runs.stream().filter(run -> run.load() == load).toList();
        medians[i] = Median.of(atLoad, metric).median();
      }
      chart.addSeries(policy, loads, medians);
    }
    VectorGraphicsEncoder.saveVectorGraphic(chart, file.toString(), VectorGraphicsFormat.SVG);
  }

  private static List<String> policies(List<RunResult> results) {
    return results.stream().map(RunResult::policy).distinct().toList();
  }
}
