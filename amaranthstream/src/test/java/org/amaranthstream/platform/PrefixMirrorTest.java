package org.amaranthstream.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PrefixMirrorTest {
  private static final Duration WAIT = Duration.ofSeconds(10);
  private static final Duration DEBOUNCE = Duration.ofMillis(300);

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final SimulatedStore store = new SimulatedStore(timers);
  private final SimulatedStoreClient client = store.client();
  private final RecordingListener listener = new RecordingListener();
  private final PrefixMirror mirror =
      PrefixMirror.create(client, timers, "a/", MirrorTiming.of(WAIT, DEBOUNCE), listener);

  private static final class RecordingListener implements MirrorListener {
    private final Map<String, String> values = new TreeMap<>();
    private int caughtUp;
    private int unavailable;

    @Override
    public void onPut(KvEntry entry) {
      values.put(entry.key(), new String(entry.value(), UTF_8));
    }

    @Override
    public void onRemoved(String key) {
      values.remove(key);
    }

    @Override
    public void onCaughtUp() {
      caughtUp++;
    }

    @Override
    public void onStoreUnavailable() {
      unavailable++;
    }
  }

  private void put(String key, String value) {
    store.put(key, value.getBytes(UTF_8));
  }

  private void putTwentyTimes(String key) {
    for (int i = 0; i < 20; i++) {
      put(key, "value " + i);
    }
  }

  private void run(long millis) {
    timers.advance(Duration.ofMillis(millis));
  }

  @BeforeEach
  void fill() {
    put("a/1", "one");
    put("b/1", "other");
  }

  @Nested
  class Listing {
    @Test
    void readsOnlyEntriesOfThePrefix() {
      mirror.start();
      run(20);

      assertThat(listener.values).containsExactly("a/1", "one");
      assertThat(listener.caughtUp).isEqualTo(1);
    }

    @Test
    void readsAllPages() {
      put("a/2", "two");
      put("a/3", "three");
      client.setPageSize(2);

      mirror.start();
      run(40);

      assertThat(listener.values.keySet()).containsExactly("a/1", "a/2", "a/3");
    }

    @Test
    void missesNoChangeBetweenTwoPages() {
      put("a/2", "two");
      put("a/3", "three");
      client.setPageSize(2);
      mirror.start();
      run(5);
      put("a/1", "newer");
      run(40);

      assertThat(listener.values).containsEntry("a/1", "newer");
    }

    @Test
    void isRetriedUntilTheStoreResponds() {
      client.setRefused(true);
      mirror.start();
      run(2_000);
      client.setRefused(false);
      run(1_000);

      assertThat(listener.values).containsKey("a/1");
    }
  }

  @Nested
  class Watching {
    @BeforeEach
    void start() {
      mirror.start();
      run(20);
    }

    @Test
    void mirrorsWritesAndRemovals() {
      put("a/2", "two");
      store.remove("a/1");
      run(500);

      assertThat(listener.values).containsExactly("a/2", "two");
    }

    @Test
    void batchesChangesInQuickSuccession() {
      put("a/2", "two");
      run(20);
      int before = store.calls();
      putTwentyTimes("a/3");
      run(400);

      assertThat(store.calls() - before).isAtMost(1);
      assertThat(listener.values).containsEntry("a/3", "value 19");
    }

    @Test
    void listsAgainIfTheHistoryWasCompacted() {
      client.setSilent(true);
      put("a/2", "two");
      store.remove("a/1");
      store.compactHistory();
      run(15_000);
      client.setSilent(false);
      run(15_000);

      assertThat(listener.values).containsExactly("a/2", "two");
    }

    @Test
    void reportsAnOutageOnceAndItsEnd() {
      client.setSilent(true);
      run(20_000);
      client.setSilent(false);
      run(15_000);

      assertThat(listener.unavailable).isEqualTo(1);
      assertThat(listener.caughtUp).isEqualTo(2);
    }

    @Test
    void refreshDoesNotWaitForAnUnresponsiveWatch() {
      client.setSilent(true);
      put("a/2", "two");
      client.setSilent(false);
      mirror.refresh();
      run(20);

      assertThat(listener.values).containsEntry("a/2", "two");
    }

    /** The page was read before the removal and arrives after it. */
    @Test
    void refreshDoesNotRestoreAnEntryThatWasRemovedMeanwhile() {
      client.setReadLatency(Duration.ofMillis(500));
      mirror.refresh();
      run(10);
      store.remove("a/1");
      run(1_000);

      assertThat(listener.values).isEmpty();
    }

    @Test
    void refreshReadsAnEntryThatWasWrittenAgainAfterItsRemoval() {
      store.remove("a/1");
      run(400);
      client.setSilent(true);
      put("a/1", "again");
      client.setSilent(false);
      mirror.refresh();
      run(20);

      assertThat(listener.values).containsExactly("a/1", "again");
    }

    @Test
    void makesNoCallOnceStopped() {
      mirror.stop();
      run(12_000);
      int before = store.calls();
      run(60_000);

      assertThat(store.calls()).isEqualTo(before);
    }
  }
}
