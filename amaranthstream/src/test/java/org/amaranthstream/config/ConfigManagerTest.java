package org.amaranthstream.config;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigManagerTest {
  private static final String ONE = "pools:\n  one:\n    kind: PLAIN_SERVICE\n";
  private static final String TWO = "pools:\n  two:\n    kind: PLAIN_SERVICE\n";
  private static final ConfigTiming TIMING =
      new ConfigTiming(
          Duration.ofSeconds(5),
          Duration.ofSeconds(10),
          Duration.ofSeconds(1),
          Duration.ofSeconds(3));

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final FakeKeyValueStore store = new FakeKeyValueStore(timers);
  private final ConfigManager manager = startManager(ConfigStorage.NONE, false);

  private ConfigManager startManager(ConfigStorage storage, boolean hasPeers) {
    ConfigManager newManager =
        ConfigManager.builder(ConfigManagerTest::runNow, timers, store, TIMING)
            .storage(storage)
            .hasPeers(hasPeers)
            .clock(() -> Instant.ofEpochSecond(7))
            .build();
    newManager.start();
    return newManager;
  }

  private static boolean runNow(Runnable task) {
    task.run();
    return true;
  }

  private Result<ConfigGeneration> put(ConfigManager target, long expected, String yaml) {
    CompletableFuture<Result<ConfigGeneration>> outcome =
        target.put(ConfigGeneration.of(expected), yaml, "ana");
    timers.advance(Duration.ofSeconds(6));
    return outcome.join();
  }

  private static ErrorDetail error(Result<ConfigGeneration> result) {
    assertThat(result).isInstanceOf(Result.Failure.class);
    return ((Result.Failure<ConfigGeneration>) result).error();
  }

  @Nested
  class Put {
    @Test
    void appliesTheChangeAndRecordsItInTheHistory() {
      List<Long> applied = new ArrayList<>();
      manager.addListener(config -> applied.add(config.generation().value()));
      assertThat(put(manager, 0, ONE)).isEqualTo(Result.success(ConfigGeneration.of(1)));
      assertThat(put(manager, 1, TWO)).isEqualTo(Result.success(ConfigGeneration.of(2)));
      assertThat(applied).containsExactly(1L, 2L).inOrder();
      ConfigChange change = manager.history().get(0);
      assertThat(change.operator()).isEqualTo("ana");
      assertThat(change.at()).isEqualTo(Instant.ofEpochSecond(7));
      assertThat(change.summary()).isEqualTo("pools added [two]; pools removed [one]");
    }

    @Test
    void reportsTheAcceptedChangeToTheLoserOfRace() {
      final ConfigManager other = startManager(ConfigStorage.NONE, false);
      CompletableFuture<Result<ConfigGeneration>> first =
          manager.put(ConfigGeneration.of(0), ONE, "ana");
      CompletableFuture<Result<ConfigGeneration>> second =
          other.put(ConfigGeneration.of(0), TWO, "bo");
      timers.advance(Duration.ofSeconds(1));
      assertThat(first.join()).isEqualTo(Result.success(ConfigGeneration.of(1)));
      assertThat(error(second.join()).code()).isEqualTo(ResultCode.CONFIG_CONFLICT);
      assertThat(error(second.join()).message())
          .isEqualTo(
              "the configuration is at generation 1 (last change by ana), but the change"
                  + " expects generation 0");
      assertThat(other.applied().yaml()).isEqualTo(ONE);
    }

    @Test
    void rejectsInvalidYamlWithoutWriting() {
      ErrorDetail error = error(put(manager, 0, "pools: 1\n"));
      assertThat(error.code()).isEqualTo(ResultCode.CONFIG_INVALID);
      assertThat(error.message())
          .isEqualTo("config:1: key pools: found whole number 1, expected a mapping");
      assertThat(store.document()).isEmpty();
    }

    @Test
    void rejectsChangesUntilPeerReportsItsGeneration() {
      ConfigManager unconfirmed = startManager(ConfigStorage.NONE, true);
      CompletableFuture<Result<ConfigGeneration>> early =
          unconfirmed.put(ConfigGeneration.of(0), ONE, "ana");
      assertThat(error(early.join()).code()).isEqualTo(ResultCode.PEER_UNREACHABLE);
      unconfirmed.observePeerGeneration(ConfigGeneration.of(0));
      assertThat(put(unconfirmed, 0, ONE)).isInstanceOf(Result.Success.class);
    }

    @Test
    void failsWithoutWritingDuringAnOutage() {
      store.setOutage(true);
      assertThat(error(put(manager, 0, ONE)).code()).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
      assertThat(store.document()).isEmpty();
    }
  }

  @Nested
  class LostResponse {
    @Test
    void isResolvedByTheNonce() {
      store.failNextWrite(FakeKeyValueStore.WriteFault.ANSWER_LOST);
      assertThat(put(manager, 0, ONE)).isEqualTo(Result.success(ConfigGeneration.of(1)));
      assertThat(manager.applied().yaml()).isEqualTo(ONE);
    }

    @Test
    void leavesTheOutcomeUnknownWithoutNewerRevision() {
      store.failNextWrite(FakeKeyValueStore.WriteFault.REQUEST_LOST);
      assertThat(error(put(manager, 0, ONE)).code()).isEqualTo(ResultCode.CONFIG_OUTCOME_UNKNOWN);
    }

    @Test
    void isReportedAsConflictOnceAnotherChangeIsAccepted() {
      store.failNextWrite(FakeKeyValueStore.WriteFault.REQUEST_LOST);
      CompletableFuture<Result<ConfigGeneration>> lost =
          manager.put(ConfigGeneration.of(0), ONE, "ana");
      final ConfigManager other = startManager(ConfigStorage.NONE, false);
      timers.advance(Duration.ofMillis(500));
      assertThat(put(other, 0, TWO)).isInstanceOf(Result.Success.class);
      assertThat(error(lost.join()).code()).isEqualTo(ResultCode.CONFIG_CONFLICT);
    }
  }

  @Nested
  class Watching {
    @Test
    void appliesChangeOfAnotherDaemonAtOnce() {
      final ConfigManager other = startManager(ConfigStorage.NONE, false);
      timers.advance(Duration.ofSeconds(1));
      manager.put(ConfigGeneration.of(0), ONE, "ana");
      timers.advance(Duration.ofMillis(50));
      assertThat(other.applied().yaml()).isEqualTo(ONE);
      assertThat(other.status().source()).isEqualTo(ConfigSource.PLATFORM);
    }

    @Test
    void findsChangeWithinThePollIntervalWhenWatchesStall() {
      final ConfigManager other = startManager(ConfigStorage.NONE, false);
      store.setWatchesStalled(true);
      timers.advance(Duration.ofSeconds(1));
      manager.put(ConfigGeneration.of(0), ONE, "ana");
      timers.advance(TIMING.pollInterval().plus(TIMING.watchWait()));
      assertThat(other.applied().yaml()).isEqualTo(ONE);
    }

    @Test
    void doesNotApplyAnOlderGenerationOfRestoredService() {
      put(manager, 0, ONE);
      store.backUp();
      put(manager, 1, TWO);
      store.restore();
      timers.advance(Duration.ofSeconds(30));
      assertThat(manager.applied().yaml()).isEqualTo(TWO);
      assertThat(manager.status().platformBehind()).isTrue();
      assertThat(put(manager, 2, ONE)).isEqualTo(Result.success(ConfigGeneration.of(3)));
      timers.advance(Duration.ofSeconds(30));
      assertThat(manager.status().platformBehind()).isFalse();
    }

    @Test
    void keepsTheActiveConfigWhenTheStoredValueIsInvalid() {
      put(manager, 0, ONE);
      byte[] invalid = "{\"generation\":9}".getBytes(StandardCharsets.UTF_8);
      store.compareAndSwap(ConfigManager.KEY, Revision.of(1), invalid, Optional.empty());
      timers.advance(Duration.ofSeconds(1));
      assertThat(manager.applied().yaml()).isEqualTo(ONE);
      assertThat(manager.status().refusedDocuments()).isAtLeast(1);
    }

    @Test
    void countsClashOfContentsWithinOneGeneration() {
      put(manager, 0, ONE);
      manager.applyFromPeer(ConfigGeneration.of(1), TWO);
      assertThat(manager.status().clashes()).isEqualTo(1);
      assertThat(manager.applied().yaml()).isEqualTo(ONE);
    }
  }

  @Nested
  class StartDuringAnOutage {
    @TempDir private Path folder;

    @Test
    void loadsTheStoredFile() {
      ConfigManager previous = startManager(FileConfigStorage.in(folder), false);
      put(previous, 0, ONE);
      store.setOutage(true);
      ConfigManager restarted = startManager(FileConfigStorage.in(folder), false);
      assertThat(restarted.applied().yaml()).isEqualTo(ONE);
      assertThat(restarted.status().source()).isEqualTo(ConfigSource.DISK);
      assertThat(restarted.history()).hasSize(1);
    }

    @Test
    void appliesTheConfigOfPeer() {
      store.setOutage(true);
      ConfigManager restarted = startManager(ConfigStorage.NONE, true);
      assertThat(restarted.observePeerGeneration(ConfigGeneration.of(4))).isTrue();
      restarted.applyFromPeer(ConfigGeneration.of(4), ONE);
      assertThat(restarted.applied().yaml()).isEqualTo(ONE);
      restarted.applyFromPeer(ConfigGeneration.of(3), TWO);
      assertThat(restarted.applied().yaml()).isEqualTo(ONE);
    }

    @Test
    void ignoresDamagedFile() throws Exception {
      Files.writeString(folder.resolve("config.json"), "{");
      ConfigManager restarted = startManager(FileConfigStorage.in(folder), false);
      assertThat(restarted.current().generation()).isEqualTo(ConfigGeneration.of(0));
    }
  }
}
