package org.amaranthstream.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.fleet.wire.WatchCall;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.platform.WatchReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Test;

/**
 * Watches of relays that must not depend on another relay: two that asked each other would follow
 * nobody.
 */
class WatchRelayTest {
  private static final String PREFIX = "settings/";
  private static final Revision START = Revision.of(10);
  private static final Duration WAIT = Duration.ofMillis(1_500);

  /** Shorter than the watches of peers. */
  private static final Duration SHORT_WAIT = Duration.ofMillis(750);

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final WatchRelay relay = new WatchRelay(timers);

  private CompletableFuture<Result<byte[]>> watch(WatchSource source) {
    byte[] call =
        WatchCall.newBuilder()
            .setPrefix(PREFIX)
            .setAfter(START.value())
            .setWaitMs(1_000)
            .build()
            .toByteArray();
    return relay.handle(call, source);
  }

  private static boolean isRejected(CompletableFuture<Result<byte[]>> reply) {
    return reply.isDone() && reply.join() instanceof Result.Failure;
  }

  private static boolean isAnswered(CompletableFuture<Result<byte[]>> reply) {
    return reply.isDone() && reply.join() instanceof Result.Success;
  }

  @Test
  void areRejectedByDaemonThatWatchesThroughPeer() {
    relay.onWatchStarted(PREFIX, START, WatchSource.ANY, WAIT);

    assertThat(isRejected(watch(WatchSource.DIRECT))).isTrue();
    assertThat(watch(WatchSource.ANY).isDone()).isFalse();
  }

  @Test
  void areAnsweredByDaemonThatWatchesTheStore() {
    relay.onWatchStarted(PREFIX, START, WatchSource.DIRECT, WAIT);
    CompletableFuture<Result<byte[]>> reply = watch(WatchSource.DIRECT);
    timers.advance(Duration.ofSeconds(1));

    assertThat(isAnswered(reply)).isTrue();
  }

  @Test
  void failWhenTheDaemonStartsToWatchThroughPeer() {
    relay.onWatchStarted(PREFIX, START, WatchSource.DIRECT, WAIT);
    final CompletableFuture<Result<byte[]>> direct = watch(WatchSource.DIRECT);
    final CompletableFuture<Result<byte[]>> any = watch(WatchSource.ANY);
    relay.onReply(PREFIX, START, new WatchReply.Changes(ImmutableList.of(), START));
    relay.onWatchStarted(PREFIX, START, WatchSource.ANY, WAIT);

    assertThat(isRejected(direct)).isTrue();
    assertThat(any.isDone()).isFalse();
  }

  /** Without changes, the relay cannot tell a quiet store from a silent connection. */
  @Test
  void areRejectedWhileTheReplyToTheDaemonsOwnWatchIsOverdue() {
    relay.onWatchStarted(PREFIX, START, WatchSource.DIRECT, WAIT);
    timers.advance(WAIT);
    CompletableFuture<Result<byte[]>> before = watch(WatchSource.DIRECT);
    timers.advance(WAIT.dividedBy(2));

    assertThat(isRejected(before)).isTrue();
    assertThat(isRejected(watch(WatchSource.DIRECT))).isTrue();
  }

  @Test
  void areAnsweredAgainAfterTheOverdueReply() {
    relay.onWatchStarted(PREFIX, START, WatchSource.DIRECT, WAIT);
    timers.advance(WAIT.multipliedBy(2));
    relay.onReply(PREFIX, START, new WatchReply.Changes(ImmutableList.of(), START));
    CompletableFuture<Result<byte[]>> reply = watch(WatchSource.DIRECT);
    timers.advance(Duration.ofSeconds(1));

    assertThat(isAnswered(reply)).isTrue();
  }

  /** An empty answer at the end of the wait could be as old as the wait. */
  @Test
  void areAnsweredWithTheNextReplyOnceTheyHaveWaitedForLong() {
    relay.onWatchStarted(PREFIX, START, WatchSource.DIRECT, SHORT_WAIT);
    final CompletableFuture<Result<byte[]>> early = watch(WatchSource.DIRECT);
    timers.advance(SHORT_WAIT);
    final CompletableFuture<Result<byte[]>> late = watch(WatchSource.DIRECT);
    final CompletableFuture<Result<byte[]>> ofZone = watch(WatchSource.ANY);
    relay.onReply(PREFIX, START, new WatchReply.Changes(ImmutableList.of(), START));

    assertThat(isAnswered(early)).isTrue();
    assertThat(late.isDone()).isFalse();
    assertThat(ofZone.isDone()).isFalse();
  }

  @Test
  void areNotAnsweredWithoutReplySinceTheyBegan() {
    relay.onWatchStarted(PREFIX, START, WatchSource.DIRECT, SHORT_WAIT);
    timers.advance(SHORT_WAIT);
    relay.onReply(PREFIX, START, new WatchReply.Changes(ImmutableList.of(), START));
    CompletableFuture<Result<byte[]>> reply = watch(WatchSource.DIRECT);
    timers.advance(Duration.ofSeconds(1));
    assertThat(reply.isDone()).isFalse();
    timers.advance(Duration.ofSeconds(1));

    assertThat(isRejected(reply)).isTrue();
  }

  @Test
  void areRejectedAfterTheDaemonHasStoppedWatching() {
    relay.onWatchStarted(PREFIX, START, WatchSource.DIRECT, WAIT);
    relay.close(PREFIX);

    assertThat(isRejected(watch(WatchSource.DIRECT))).isTrue();
  }
}
