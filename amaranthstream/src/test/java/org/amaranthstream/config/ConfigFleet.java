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

/**
 * A fleet of configuration managers that share one key-value service in virtual time. It records
 * the outcomes of changes and the configurations that are applied, and checks them. Not thread
 * safe.
 */
final class ConfigFleet {
  static final int SIZE = 3;
  private static final ConfigTiming TIMING =
      new ConfigTiming(
          Duration.ofSeconds(5), Duration.ofSeconds(10), Duration.ofSeconds(1), Duration.ZERO);
  private static final Duration SETTLE_TIME = Duration.ofSeconds(30);

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final FakeKeyValueStore store = new FakeKeyValueStore(timers);
  private final List<ConfigManager> managers = new ArrayList<>();
  private final List<InMemoryConfigStorage> storages = new ArrayList<>();
  private final Map<ConfigGeneration, String> accepted = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final Set<String> rejected = new HashSet<>();
  private final Set<String> applied = new HashSet<>();
  private int changes;
  private int starts;

  ConfigFleet() {
    for (int i = 0; i < SIZE; i++) {
      storages.add(new InMemoryConfigStorage());
      managers.add(start(storages.get(i)));
    }
    timers.advance(SETTLE_TIME);
  }

  private ConfigManager start(ConfigStorage storage) {
    int start = starts++;
    int[] nonce = {0};
    ConfigManager manager =
        ConfigManager.builder(
                task -> {
                  task.run();
                  return true;
                },
                timers,
                store,
                TIMING)
            .storage(storage)
            .clock(() -> Instant.EPOCH)
            .nonces(() -> start + "-" + nonce[0]++)
            .build();
    manager.addListener(new GenerationChecker(manager));
    manager.start();
    return manager;
  }

  /**
   * Listener that records a violation if a generation is not higher than the previous one. It does
   * not throw, because an exception would only complete a future exceptionally.
   */
  private final class GenerationChecker implements ConfigListener {
    private final ConfigManager manager;
    private ConfigGeneration highest = ConfigGeneration.of(0);

    private GenerationChecker(ConfigManager manager) {
      this.manager = manager;
    }

    @Override
    public void configApplied(OperatorConfig config) {
      if (!config.generation().isAfter(highest)) {
        violations.add("generation " + config.generation() + " after " + highest);
      }
      highest = config.generation();
      applied.add(manager.applied().yaml());
    }
  }

  FakeKeyValueStore store() {
    return store;
  }

  ConfigManager manager(int index) {
    return managers.get(index);
  }

  void advance(Duration duration) {
    timers.advance(duration);
  }

  /**
   * Sends a change to a manager. The change expects the manager's active generation minus {@code
   * lag}.
   */
  void put(int index, int lag) {
    ConfigManager manager = managers.get(index);
    long current = manager.current().generation().value();
    String yaml = "pools:\n  change-" + changes++ + ":\n    kind: PLAIN_SERVICE\n";
    ConfigGeneration expected = ConfigGeneration.of(Math.max(0, current - lag));
    manager
        .put(expected, yaml, "operator")
        .thenAccept(result -> recordOutcome(result, expected, yaml));
  }

  private void recordOutcome(
      Result<ConfigGeneration> result, ConfigGeneration expected, String yaml) {
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
      rejected.add(yaml);
    }
  }

  /** Sends the active configuration of one manager to another one. */
  void gossip(int from, int to) {
    AppliedConfig config = managers.get(from).applied();
    managers.get(to).applyFromPeer(config.config().generation(), config.yaml());
  }

  void gossipBetweenAll() {
    for (int from = 0; from < SIZE; from++) {
      for (int to = 0; to < SIZE; to++) {
        gossip(from, to);
      }
    }
  }

  /** Restarts a manager, which then receives the active configuration of every manager. */
  void restart(int index, boolean keepsStorage) {
    managers.get(index).stop();
    if (!keepsStorage) {
      storages.set(index, new InMemoryConfigStorage());
    }
    managers.set(index, start(storages.get(index)));
    for (int from = 0; from < SIZE; from++) {
      gossip(from, index);
    }
    checkRestarted(index);
  }

  private void checkRestarted(int index) {
    assertThat(managers.get(index).current().generation()).isAtLeast(highest());
  }

  private ConfigGeneration highest() {
    return managers.stream()
        .map(manager -> manager.current().generation())
        .max(Comparator.naturalOrder())
        .orElseThrow();
  }

  /**
   * Restores the key-value service from its backup while no write is in flight and all managers
   * have the newest configuration.
   */
  void restoreBackup() {
    store.setOutage(false);
    timers.advance(SETTLE_TIME);
    gossipBetweenAll();
    store.restore();
  }

  /**
   * Ends all faults, waits, and checks that all managers have the same configuration, that it is at
   * least as new as every accepted change and that no rejected change was applied.
   */
  void checkConvergence() {
    store.setOutage(false);
    store.setWatchesStalled(false);
    store.makeReadsStale(0);
    timers.advance(SETTLE_TIME);
    gossipBetweenAll();
    for (ConfigManager manager : managers) {
      assertThat(manager.current().generation()).isEqualTo(highest());
      assertThat(manager.status().clashes()).isEqualTo(0);
      assertThat(manager.applied().yaml()).isEqualTo(managers.get(0).applied().yaml());
    }
    for (Map.Entry<ConfigGeneration, String> change : accepted.entrySet()) {
      assertThat(highest()).isAtLeast(change.getKey());
      if (highest().equals(change.getKey())) {
        assertThat(managers.get(0).applied().yaml()).isEqualTo(change.getValue());
      }
    }
    assertThat(violations).isEmpty();
    rejected.retainAll(applied);
    assertWithMessage("rejected changes that were applied").that(rejected).isEmpty();
  }
}
