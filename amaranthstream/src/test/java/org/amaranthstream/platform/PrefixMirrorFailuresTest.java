package org.amaranthstream.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.reflect.Reflection;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A mirror goes on when its listener fails on an entry, or when the store throws. */
class PrefixMirrorFailuresTest {
  private static final MirrorTiming TIMING =
      MirrorTiming.of(Duration.ofSeconds(10), Duration.ofMillis(300));

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final SimulatedStore store = new SimulatedStore(timers);
  private final TreeSet<String> known = new TreeSet<>();
  private final List<String> failed = new ArrayList<>();

  /** A listener that fails on all keys which contain "odd", in the ways that were seen. */
  private final class FailingListener implements MirrorListener {
    private final Runnable failure;

    FailingListener(Runnable failure) {
      this.failure = failure;
    }

    private void failIfOdd(String key) {
      if (key.contains("odd")) {
        failed.add(key);
        failure.run();
      }
    }

    @Override
    public void onPut(KvEntry entry) {
      failIfOdd(entry.key());
      known.add(entry.key());
    }

    @Override
    public void onRemoved(String key) {
      failIfOdd(key);
      known.remove(key);
    }
  }

  private void put(String key) {
    store.put(key, "x".getBytes(UTF_8));
  }

  private void run(long millis) {
    timers.advance(Duration.ofMillis(millis));
  }

  private PrefixMirror start(Runnable failure) {
    PrefixMirror mirror =
        PrefixMirror.create(store.client(), timers, "a/", TIMING, new FailingListener(failure));
    mirror.start();
    run(1_000);
    return mirror;
  }

  @Nested
  class FailingListeners {
    private void followsBeside(Runnable failure) {
      put("a/1");
      put("a/2-odd");
      put("a/3");
      start(failure);
      assertThat(known).containsExactly("a/1", "a/3");

      put("a/3-odd");
      put("a/4");
      run(1_000);
      assertThat(known).containsExactly("a/1", "a/3", "a/4");

      store.remove("a/2-odd");
      store.remove("a/1");
      run(1_000);
      put("a/5");
      run(1_000);
      assertThat(known).containsExactly("a/3", "a/4", "a/5");
    }

    @Test
    void followsBesideAnEntryThatThrows() {
      followsBeside(
          () -> {
            throw new IllegalStateException("odd entry");
          });
    }

    @Test
    void followsBesideAnEntryThatOverflowsTheStack() {
      followsBeside(
          () -> {
            throw new StackOverflowError();
          });
    }

    @Test
    void callsTheListenerOncePerRevision() {
      put("a/odd");
      PrefixMirror mirror =
          start(
              () -> {
                throw new IllegalStateException("odd entry");
              });
      mirror.refresh();
      run(30_000);
      mirror.refresh();
      run(30_000);
      assertThat(failed).hasSize(1);

      put("a/odd");
      run(1_000);
      assertThat(failed).hasSize(2);
    }
  }

  @Nested
  class ThrowingStores {
    private int calls;

    /** Returns a store of which every third call completes exceptionally. */
    private TransactionalStore throwing(TransactionalStore delegate) {
      return Reflection.newProxy(
          TransactionalStore.class,
          (proxy, method, arguments) -> {
            calls++;
            return calls % 3 == 0
                ? CompletableFuture.failedFuture(new StackOverflowError())
                : method.invoke(delegate, arguments);
          });
    }

    @Test
    void followsAfterExceptions() {
      put("a/1");
      PrefixMirror mirror =
          PrefixMirror.create(
              throwing(store.client()), timers, "a/", TIMING, new FailingListener(() -> {}));
      mirror.start();
      for (int i = 2; i < 12; i++) {
        run(15_000);
        put("a/" + i);
      }
      run(15_000);

      assertThat(known).hasSize(11);
    }
  }
}
