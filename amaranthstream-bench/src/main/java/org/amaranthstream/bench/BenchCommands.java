package org.amaranthstream.bench;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.bench.demo.DemoCommand;
import org.amaranthstream.bench.entrypath.EntryPathCommand;
import org.amaranthstream.bench.experiment.ExperimentCommand;
import org.amaranthstream.bench.rollout.GenerateAheadCommand;
import org.amaranthstream.bench.rollout.RolloutSlopesCommand;
import org.amaranthstream.bench.slopes.HeartbeatSlopeCommand;

/** List of the subcommands of the bench program. */
final class BenchCommands {
  private BenchCommands() {}

  static ImmutableList<BenchCommand> all() {
    return ImmutableList.of(
        new DemoCommand(),
        new ExperimentCommand(),
        new EntryPathCommand(),
        new HeartbeatSlopeCommand(),
        new GenerateAheadCommand(),
        new RolloutSlopesCommand());
  }
}
