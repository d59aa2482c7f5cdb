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
  private final ConfigManager keeper = keeper(ConfigStorage.NONE, false);

  private ConfigManager keeper(ConfigStorage disk, boolean hasPeers) {
    ConfigManager newKeeper =
        ConfigManager.builder(ConfigManagerTest::runNow, timers, store, TIMING)
            .disk(disk)
            .hasPeers(hasPeers)
            .clock(() -> Instant.ofEpochSecond(7))
            .build();
    newKeeper.start();
    return newKeeper;
  }

  private static boolean runNow(Runnable task) {
    task.run();
    return true;
  }

  private Result<ConfigGeneration> put(ConfigManager target, long expected, String yaml) {
    CompletableFuture<Result<ConfigGeneration>> reply =
        target.put(ConfigGeneration.of(expected), yaml, "ana");
    timers.advance(Duration.ofSeconds(6));
    return reply.join();
  }

  private static ErrorDetail error(Result<ConfigGeneration> result) {
    assertThat(result).isInstanceOf(Result.Failure.class);
    return ((Result.Failure<ConfigGeneration>) result).error();
  }

  @Nested
  class Put {
    @Test
    void putsTheChangeInForceAndInTheHistory() {
      List<Long> applied = new ArrayList<>();
      keeper.addListener(config -> applied.add(config.generation().value()));
      assertThat(put(keeper, 0, ONE)).isEqualTo(Result.success(ConfigGeneration.of(1)));
      assertThat(put(keeper, 1, TWO)).isEqualTo(Result.success(ConfigGeneration.of(2)));
      assertThat(applied).containsExactly(1L, 2L).inOrder();
      ConfigChange change = keeper.history().get(0);
      assertThat(change.operator()).isEqualTo("ana");
      assertThat(change.at()).isEqualTo(Instant.ofEpochSecond(7));
      assertThat(change.summary()).isEqualTo("pools added [two]; pools removed [one]");
    }

    @Test
    void namesTheWinnerOfRace() {
      final ConfigManager other = keeper(ConfigStorage.NONE, false);
      CompletableFuture<Result<ConfigGeneration>> first =
          keeper.put(ConfigGeneration.of(0), ONE, "ana");
      CompletableFuture<Result<ConfigGeneration>> second =
          other.put(ConfigGeneration.of(0), TWO, "bo");
      timers.advance(Duration.ofSeconds(1));
      assertThat(first.join()).isEqualTo(Result.success(ConfigGeneration.of(1)));
      assertThat(error(second.join()).code()).isEqualTo(ResultCode.CONFIG_CONFLICT);
      assertThat(error(second.join()).message())
          .isEqualTo(
              "the configuration is at generation 1 (last change by ana), the change names"
                  + " generation 0");
      assertThat(other.applied().yaml()).isEqualTo(ONE);
    }

    @Test
    void changesNothingIfTheYamlIsInvalid() {
      ErrorDetail error = error(put(keeper, 0, "pools: 1\n"));
      assertThat(error.code()).isEqualTo(ResultCode.CONFIG_INVALID);
      assertThat(error.message())
          .isEqualTo("config:1: key pools: found whole number 1, expected a mapping");
      assertThat(store.document()).isEmpty();
    }

    @Test
    void waitsForWordOfPeer() {
      ConfigManager alone = keeper(ConfigStorage.NONE, true);
      CompletableFuture<Result<ConfigGeneration>> early =
          alone.put(ConfigGeneration.of(0), ONE, "ana");
      assertThat(error(early.join()).code()).isEqualTo(ResultCode.PEER_UNREACHABLE);
      alone.observePeerGeneration(ConfigGeneration.of(0));
      assertThat(put(alone, 0, ONE)).isInstanceOf(Result.Success.class);
    }

    @Test
    void saysThatNothingChangedDuringAnOutage() {
      store.setDown(true);
      assertThat(error(put(keeper, 0, ONE)).code()).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
      assertThat(store.document()).isEmpty();
    }
  }

  @Nested
  class LostAnswer {
    @Test
    void isSettledByTheNonce() {
      store.failNextWrite(FakeKeyValueStore.WriteFault.ANSWER_LOST);
      assertThat(put(keeper, 0, ONE)).isEqualTo(Result.success(ConfigGeneration.of(1)));
      assertThat(keeper.applied().yaml()).isEqualTo(ONE);
    }

    @Test
    void staysUnknownWhileNothingNewIsRead() {
      store.failNextWrite(FakeKeyValueStore.WriteFault.REQUEST_LOST);
      assertThat(error(put(keeper, 0, ONE)).code()).isEqualTo(ResultCode.CONFIG_OUTCOME_UNKNOWN);
    }

    @Test
    void isRefusedOnceAnotherChangeHasWon() {
      store.failNextWrite(FakeKeyValueStore.WriteFault.REQUEST_LOST);
      CompletableFuture<Result<ConfigGeneration>> lost =
          keeper.put(ConfigGeneration.of(0), ONE, "ana");
      final ConfigManager other = keeper(ConfigStorage.NONE, false);
      timers.advance(Duration.ofMillis(500));
      assertThat(put(other, 0, TWO)).isInstanceOf(Result.Success.class);
      assertThat(error(lost.join()).code()).isEqualTo(ResultCode.CONFIG_CONFLICT);
    }
  }

  @Nested
  class Follow {
    @Test
    void appliesChangeOfAnotherDaemonAtOnce() {
      final ConfigManager other = keeper(ConfigStorage.NONE, false);
      timers.advance(Duration.ofSeconds(1));
      keeper.put(ConfigGeneration.of(0), ONE, "ana");
      timers.advance(Duration.ofMillis(50));
      assertThat(other.applied().yaml()).isEqualTo(ONE);
      assertThat(other.status().source()).isEqualTo(ConfigSource.PLATFORM);
    }

    @Test
    void findsChangeWithinThePollIntervalWhenWatchesAreSilent() {
      final ConfigManager other = keeper(ConfigStorage.NONE, false);
      store.setWatchesSilent(true);
      timers.advance(Duration.ofSeconds(1));
      keeper.put(ConfigGeneration.of(0), ONE, "ana");
      timers.advance(TIMING.pollInterval().plus(TIMING.watchWait()));
      assertThat(other.applied().yaml()).isEqualTo(ONE);
    }

    @Test
    void doesNotFollowServiceThatWasSetBack() {
      put(keeper, 0, ONE);
      store.backUp();
      put(keeper, 1, TWO);
      store.restore();
      timers.advance(Duration.ofSeconds(30));
      assertThat(keeper.applied().yaml()).isEqualTo(TWO);
      assertThat(keeper.status().platformBehind()).isTrue();
      assertThat(put(keeper, 2, ONE)).isEqualTo(Result.success(ConfigGeneration.of(3)));
      timers.advance(Duration.ofSeconds(30));
      assertThat(keeper.status().platformBehind()).isFalse();
    }

    @Test
    void keepsTheFormerWhenTheServiceHoldsGarbage() {
      put(keeper, 0, ONE);
      byte[] garbage = "{\"generation\":9}".getBytes(StandardCharsets.UTF_8);
      store.compareAndSwap(ConfigManager.KEY, Revision.of(1), garbage, Optional.empty());
      timers.advance(Duration.ofSeconds(1));
      assertThat(keeper.applied().yaml()).isEqualTo(ONE);
      assertThat(keeper.status().refusedDocuments()).isAtLeast(1);
    }

    @Test
    void countsOtherContentsOfTheSameGeneration() {
      put(keeper, 0, ONE);
      keeper.offer(ConfigGeneration.of(1), TWO);
      assertThat(keeper.status().clashes()).isEqualTo(1);
      assertThat(keeper.applied().yaml()).isEqualTo(ONE);
    }
  }

  @Nested
  class StartDuringAnOutage {
    @TempDir private Path folder;

    @Test
    void usesTheDisk() {
      ConfigManager former = keeper(FileConfigStorage.in(folder), false);
      put(former, 0, ONE);
      store.setDown(true);
      ConfigManager restarted = keeper(FileConfigStorage.in(folder), false);
      assertThat(restarted.applied().yaml()).isEqualTo(ONE);
      assertThat(restarted.status().source()).isEqualTo(ConfigSource.DISK);
      assertThat(restarted.history()).hasSize(1);
    }

    @Test
    void usesPeer() {
      store.setDown(true);
      ConfigManager restarted = keeper(ConfigStorage.NONE, true);
      assertThat(restarted.observePeerGeneration(ConfigGeneration.of(4))).isTrue();
      restarted.offer(ConfigGeneration.of(4), ONE);
      assertThat(restarted.applied().yaml()).isEqualTo(ONE);
      restarted.offer(ConfigGeneration.of(3), TWO);
      assertThat(restarted.applied().yaml()).isEqualTo(ONE);
    }

    @Test
    void ignoresDamagedFile() throws Exception {
      Files.writeString(folder.resolve("config.json"), "{");
      ConfigManager restarted = keeper(FileConfigStorage.in(folder), false);
      assertThat(restarted.current().generation()).isEqualTo(ConfigGeneration.of(0));
    }
  }
}
