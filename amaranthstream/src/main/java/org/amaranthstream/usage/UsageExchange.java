package org.amaranthstream.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.fleet.FleetLinks;
import org.amaranthstream.fleet.FleetNode;
import org.amaranthstream.fleet.FleetRelays;
import org.amaranthstream.fleet.PeerQuery;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;
import org.amaranthstream.usage.wire.UsageAnswer;
import org.amaranthstream.usage.wire.UsagePush;
import org.amaranthstream.usage.wire.UsagePushAnswer;
import org.amaranthstream.usage.wire.UsageQuestion;

/**
 * Exchange of counts between daemons: each sends its own to two relays, and the daemon that reports
 * collects them from all relays.
 *
 * <p>Messages contain all counts since the start of the sender, so any of them may be lost or
 * repeated. The answers carry the receiver's time of day, for {@link TrueClock}. Must be used on
 * the thread of its timers.
 */
public final class UsageExchange {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration PERIOD = Duration.ofSeconds(1);
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  /** Holders of the counts besides the sender. */
  private static final int TARGETS = 2;

  /** Periods without a change after which a message is sent all the same, for the clocks. */
  private static final int MAX_SILENT_PERIODS = 10;

  private final FleetNode self;
  private final FleetRelays relays;
  private final PeerQuery peers;
  private final TimerService timers;
  private final TrueClock clock;
  private final UsageCounters counters;
  private final UsageTiming timing;
  private final UsageCollection collection = new UsageCollection();
  private ImmutableList<EntryVmId> lastTargets = ImmutableList.of();
  private int silentPeriods;
  private boolean isSendPending;
  private long sequence;

  /** Creates an exchange, which sends nothing before {@link #start}. */
  public UsageExchange(
      FleetNode self,
      FleetRelays relays,
      PeerQuery peers,
      TimerService timers,
      TrueClock clock,
      UsageCounters counters,
      UsageTiming timing) {
    this.self = checkNotNull(self, "self");
    this.relays = checkNotNull(relays, "relays");
    this.peers = checkNotNull(peers, "peers");
    this.timers = checkNotNull(timers, "timers");
    this.clock = checkNotNull(clock, "clock");
    this.counters = checkNotNull(counters, "counters");
    this.timing = checkNotNull(timing, "timing");
  }

  /** Registers the handlers of the queries of other daemons. */
  public void serve(FleetLinks links) {
    links.register(
        QueryKind.USAGE_PUSH, (LocalVm from, byte[] body, Duration timeout) -> onPush(body));
    links.register(
        QueryKind.USAGE_COUNTS, (LocalVm from, byte[] body, Duration timeout) -> onQuestion(body));
  }

  /** Starts to send the counts of this daemon. */
  public void start() {
    timers.every(PERIOD, this::onPeriod);
  }

  private void onPeriod() {
    clock.adjust();
    counters.decide();
    collection.removeBefore(timing.oldestUseful(clock.millis()));
    ImmutableList<EntryVmId> targets = targets();
    silentPeriods++;
    boolean isDue =
        counters.takeChange()
            | isSendPending
            | !clock.isCertain()
            | !targets.equals(lastTargets)
            | silentPeriods >= MAX_SILENT_PERIODS;
    lastTargets = targets;
    if (isDue) {
      silentPeriods = 0;
      isSendPending = false;
      send(targets);
    }
  }

  /** The relays of the zone; a daemon that sees too few of them uses those of other zones. */
  private ImmutableList<EntryVmId> targets() {
    return relays.others().stream().limit(TARGETS).collect(ImmutableList.toImmutableList());
  }

  private void send(List<EntryVmId> targets) {
    DaemonUsage usage =
        new DaemonUsage(self.vm(), self.incarnation(), ++sequence, counters.windows());
    collection.add(usage);
    byte[] push =
        UsagePush.newBuilder().setUsage(UsageCodec.encodeUsage(usage)).build().toByteArray();
    TrueClock.Reading sent = clock.read();
    for (EntryVmId target : targets) {
      peers
          .query(target, QueryKind.USAGE_PUSH, push, TIMEOUT)
          .thenAccept(result -> onPushAnswer(target, result, sent));
    }
  }

  private void onPushAnswer(EntryVmId from, Result<byte[]> result, TrueClock.Reading sent) {
    if (!(result instanceof Result.Success<byte[]> success)) {
      isSendPending = true;
      clock.forget(from);
      return;
    }
    try {
      clock.onTimeOfDay(from, UsagePushAnswer.parseFrom(success.value()).getTimeOfDay(), sent);
    } catch (InvalidProtocolBufferException e) {
      logger.atWarning().log("event=usage_answer_invalid vm=%s cause=\"%s\"", from, e);
    }
  }

  /** Handles the encoded counts of another daemon. */
  CompletableFuture<Result<byte[]>> onPush(byte[] body) {
    try {
      collection.add(UsageCodec.decodeUsage(UsagePush.parseFrom(body).getUsage()));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return malformed(e);
    }
    byte[] answer =
        UsagePushAnswer.newBuilder().setTimeOfDay(clock.timeOfDayMillis()).build().toByteArray();
    return CompletableFuture.completedFuture(Result.success(answer));
  }

  /** Handles the encoded question for the counts of a window. */
  CompletableFuture<Result<byte[]>> onQuestion(byte[] body) {
    try {
      long window = UsageQuestion.parseFrom(body).getWindow();
      UsageAnswer.Builder answer = UsageAnswer.newBuilder();
      collection.counts(window).forEach(usage -> answer.addUsage(UsageCodec.encodeUsage(usage)));
      return CompletableFuture.completedFuture(Result.success(answer.build().toByteArray()));
    } catch (InvalidProtocolBufferException e) {
      return malformed(e);
    }
  }

  private static CompletableFuture<Result<byte[]>> malformed(Exception cause) {
    return CompletableFuture.completedFuture(
        Result.failure(ResultCode.INVALID_REQUEST, "malformed counts or question: " + cause));
  }

  /**
   * Collects the counts of a window from all relays.
   *
   * @return true if all relays have answered
   */
  CompletableFuture<Boolean> collect(long window) {
    collection.add(new DaemonUsage(self.vm(), self.incarnation(), ++sequence, counters.windows()));
    byte[] question = UsageQuestion.newBuilder().setWindow(window).build().toByteArray();
    List<CompletableFuture<Boolean>> answers =
        relays.others().stream()
            .map(
                relay ->
                    peers
                        .query(relay, QueryKind.USAGE_COUNTS, question, TIMEOUT)
                        .thenApply(result -> onAnswer(relay, result)))
            .toList();
    return CompletableFuture.allOf(answers.toArray(CompletableFuture<?>[]::new))
        .thenApply(unused -> answers.stream().allMatch(CompletableFuture::join));
  }

  private boolean onAnswer(EntryVmId from, Result<byte[]> result) {
    if (!(result instanceof Result.Success<byte[]> success)) {
      return false;
    }
    try {
      UsageAnswer.parseFrom(success.value()).getUsageList().stream()
          .map(UsageCodec::decodeUsage)
          .forEach(collection::add);
      return true;
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      logger.atWarning().log("event=usage_answer_invalid vm=%s cause=\"%s\"", from, e);
      return false;
    }
  }

  /** Returns the sum of the counts of a window that this daemon knows. */
  WindowCounts sum(long window) {
    return collection.sum(window);
  }
}
