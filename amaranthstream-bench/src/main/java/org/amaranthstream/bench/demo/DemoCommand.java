package org.amaranthstream.bench.demo;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.amaranthstream.bench.BenchCommand;

/**
 * Command that runs training steps and calls end to end, on stand-ins and a daemon in one process.
 */
public final class DemoCommand implements BenchCommand {

  @Override
  public String name() {
    return "demo";
  }

  @Override
  public void configure(Subparser parser) {
    parser
        .help("run training steps and calls on stand-ins and a daemon in one process")
        .defaultHelp(true);
    parser
        .addArgument("--steps")
        .type(Integer.class)
        .setDefault(4)
        .help("number of training steps");
    parser
        .addArgument("--calls")
        .type(Integer.class)
        .setDefault(40)
        .help("number of interactive calls");
  }

  @Override
  public int run(Namespace arguments) {
    return new Demo(arguments.getInt("steps"), arguments.getInt("calls")).run();
  }
}
