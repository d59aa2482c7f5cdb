package org.amaranthstream.bench.slopes;

import java.time.Duration;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.amaranthstream.bench.BenchCommand;

/** Command that measures the cost of heartbeats by size of a zone and by number of zones. */
public final class HeartbeatSlopeCommand implements BenchCommand {
  @Override
  public String name() {
    return "heartbeat-slope";
  }

  @Override
  public void configure(Subparser parser) {
    parser.help("measure the bytes, processor time and heap of heartbeats").defaultHelp(true);
    parser
        .addArgument("--seconds")
        .type(Integer.class)
        .setDefault(10)
        .help("measured time of each point, in s");
  }

  @Override
  public int run(Namespace arguments) {
    return new HeartbeatSlope(Duration.ofSeconds(arguments.getInt("seconds"))).run();
  }
}
