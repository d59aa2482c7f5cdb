package org.amaranthstream.bench.demo;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.amaranthstream.bench.BenchCommand;

/** Runs stand-ins and a daemon in one process: training steps and calls from end to end. */
public final class DemoCommand implements BenchCommand {

  @Override
  public String name() {
    return "demo";
  }

  @Override
  public void configure(Subparser parser) {
    parser.help("stand-ins and a daemon in one process, for newcomers").defaultHelp(true);
    parser.addArgument("--steps").type(Integer.class).setDefault(4).help("training steps");
    parser.addArgument("--calls").type(Integer.class).setDefault(40).help("interactive calls");
  }

  @Override
  public int run(Namespace arguments) {
    return new Demo(arguments.getInt("steps"), arguments.getInt("calls")).run();
  }
}
