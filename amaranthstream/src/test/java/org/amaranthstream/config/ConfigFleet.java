package org.amaranthstream.config;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.VirtualTimerService;

/** Daemons with one key-value service in virtual time, and a judge of what they put in force. */
final class ConfigFleet {
  static final int SIZE = 3;
  private static final ConfigTiming TIMING =
      new ConfigTiming(
          Duration.ofSeconds(5), Duration.ofSeconds(10), Duration.ofSeconds(1), Duration.ZERO);
  private static final Duration SETTLED = Duration.ofSeconds(30);

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final FakeKeyValueStore store = new FakeKeyValueStore(timers);
  private final List<ConfigManager> keepers = new ArrayList<>();
  private final List<InMemoryConfigStorage> disks = new ArrayList<>();
  private final Map<ConfigGeneration, String> accepted = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final Set<String> refused = new HashSet<>();
  private final Set<String> applied = new HashSet<>();
  private int changes;
  private int starts;

  ConfigFleet() {
    for (int i = 0; i < SIZE; i++) {
      disks.add(new InMemoryConfigStorage());
      keepers.add(start(disks.get(i)));
    }
    timers.advance(SETTLED);
  }

  private ConfigManager start(ConfigStorage disk) {
    int start = starts++;
    int[] nonce = {0};
    ConfigManager keeper =
        ConfigManager.builder(
                task -> {
                  task.run();
                  return true;
                },
                timers,
                store,
                TIMING)
            .disk(disk)
            .clock(() -> Instant.EPOCH)
            .nonces(() -> start + "-" + nonce[0]++)
            .build();
    keeper.addListener(new Judge(keeper));
    keeper.start();
    return keeper;
  }

  /** Notes a violation if a keeper goes back; an exception here would be lost in a future. */
  private final class Judge implements ConfigListener {
    private final ConfigManager keeper;
    private ConfigGeneration highest = ConfigGeneration.of(0);

    private Judge(ConfigManager keeper) {
      this.keeper = keeper;
    }

    @Override
    public void configApplied(OperatorConfig config) {
      if (!config.generation().isAfter(highest)) {
        violations.add("generation " + config.generation() + " after " + highest);
      }
      highest = config.generation();
      applied.add(keeper.applied().yaml());
    }
  }

  FakeKeyValueStore store() {
    return store;
  }

  ConfigManager keeper(int index) {
    return keepers.get(index);
  }

  void advance(Duration duration) {
    timers.advance(duration);
  }

  /** Sends a change that replaces the generation in force at a keeper, less {@code lag}. */
  void put(int index, int lag) {
    ConfigManager keeper = keepers.get(index);
    long current = keeper.current().generation().value();
    String yaml = "pools:\n  change-" + changes++ + ":\n    kind: PLAIN_SERVICE\n";
    ConfigGeneration expected = ConfigGeneration.of(Math.max(0, current - lag));
    keeper.put(expected, yaml, "operator").thenAccept(result -> note(result, expected, yaml));
  }

  private void note(Result<ConfigGeneration> result, ConfigGeneration expected, String yaml) {
    if (result instanceof Result.Success<ConfigGeneration> success) {
      if (success.value().value() != expected.value() + 1) {
        violations.add("generation " + success.value() + " replaces " + expected);
      }
      String other = accepted.put(success.value(), yaml);
      if (other != null) {
        violations.add("two changes accepted as " + success.value());
      }
    } else if (result instanceof Result.Failure<ConfigGeneration> failure
        && failure.error().code() != ResultCode.CONFIG_OUTCOME_UNKNOWN) {
      refused.add(yaml);
    }
  }

  void gossip(int from, int to) {
    AppliedConfig config = keepers.get(from).applied();
    keepers.get(to).offer(config.config().generation(), config.yaml());
  }

  void gossipAll() {
    for (int from = 0; from < SIZE; from++) {
      for (int to = 0; to < SIZE; to++) {
        gossip(from, to);
      }
    }
  }

  /** Restarts a daemon, which asks its peers. */
  void restart(int index, boolean keepsDisk) {
    keepers.get(index).stop();
    if (!keepsDisk) {
      disks.set(index, new InMemoryConfigStorage());
    }
    keepers.set(index, start(disks.get(index)));
    for (int from = 0; from < SIZE; from++) {
      gossip(from, index);
    }
    checkRestarted(index);
  }

  private void checkRestarted(int index) {
    assertThat(keepers.get(index).current().generation()).isAtLeast(highest());
  }

  private ConfigGeneration highest() {
    return keepers.stream()
        .map(keeper -> keeper.current().generation())
        .max(Comparator.naturalOrder())
        .orElseThrow();
  }

  /** Sets the service back, at a time when no write is in flight and the fleet knows the newest. */
  void restoreBackup() {
    store.setDown(false);
    timers.advance(SETTLED);
    gossipAll();
    store.restore();
  }

  /** Mends all faults and checks that what was accepted is in force everywhere. */
  void settleAndCheck() {
    store.setDown(false);
    store.setWatchesSilent(false);
    store.makeReadsStale(0);
    timers.advance(SETTLED);
    gossipAll();
    for (ConfigManager keeper : keepers) {
      assertThat(keeper.current().generation()).isEqualTo(highest());
      assertThat(keeper.status().clashes()).isEqualTo(0);
      assertThat(keeper.applied().yaml()).isEqualTo(keepers.get(0).applied().yaml());
    }
    for (Map.Entry<ConfigGeneration, String> change : accepted.entrySet()) {
      assertThat(highest()).isAtLeast(change.getKey());
      if (highest().equals(change.getKey())) {
        assertThat(keepers.get(0).applied().yaml()).isEqualTo(change.getValue());
      }
    }
    assertThat(violations).isEmpty();
    refused.retainAll(applied);
    assertWithMessage("refused changes in force").that(refused).isEmpty();
  }
}
