package org.amaranthstream.bench.slopes;

import java.time.Duration;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.amaranthstream.bench.BenchCommand;

/** Measures what heartbeats cost against the size of a zone and the number of zones. */
public final class HeartbeatSlopeCommand implements BenchCommand {
  @Override
  public String name() {
    return "heartbeat-slope";
  }

  @Override
  public void configure(Subparser parser) {
    parser.help("bytes, processor time and heap of heartbeats").defaultHelp(true);
    parser
        .addArgument("--seconds")
        .type(Integer.class)
        .setDefault(10)
        .help("measured time of each point");
  }

  @Override
  public int run(Namespace arguments) {
    return new HeartbeatSlope(Duration.ofSeconds(arguments.getInt("seconds"))).run();
  }
}
