package org.amaranthstream.usage;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.duties.ApiReply;
import org.amaranthstream.duties.PlatformApi;
import org.amaranthstream.ids.FencingNumber;
import org.amaranthstream.time.TimerService;
import org.amaranthstream.time.VirtualTimerService;
import org.amaranthstream.weights.FencingTokenSource;

/** The platform's API in virtual time, with faults, and the reports that it has received. */
final class SimulatedPlatformApi {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final Duration ANSWER_DELAY = Duration.ofMillis(3);

  /** Faults for all daemons. */
  enum Fault {
    NONE,
    /** No connection can be opened. */
    DOWN,
    /** Reports are taken, but responses come after the timeout. */
    SLOW,
    ANSWER_LOST,
    TOO_MANY_CALLS
  }

  /** A report that the platform has received. */
  record Report(String vm, FencingNumber fence, WindowCounts counts, long atNanos) {}

  private final VirtualTimerService timers;
  private final Random random;
  private final List<Report> reports = new ArrayList<>();
  private Fault fault = Fault.NONE;

  SimulatedPlatformApi(VirtualTimerService timers, Random random) {
    this.timers = timers;
    this.random = random;
  }

  void setFault(Fault fault) {
    this.fault = fault;
  }

  ImmutableList<Report> reports() {
    return ImmutableList.copyOf(reports);
  }

  /** Returns the client of one daemon, whose way to the API can be cut. */
  Client client(String vm, TimerService clock) {
    return new Client(vm, clock);
  }

  /** Client of one daemon. */
  final class Client implements PlatformApi {
    private final String vm;
    private final TimerService clock;
    private boolean isCut;

    private Client(String vm, TimerService clock) {
      this.vm = vm;
      this.clock = clock;
    }

    void setCut(boolean isCut) {
      this.isCut = isCut;
    }

    @Override
    public CompletableFuture<ApiReply> reportUsage(WindowCounts counts, FencingTokenSource fences) {
      CompletableFuture<ApiReply> reply = new CompletableFuture<>();
      // A connection takes a while to open, and the VM may be suspended meanwhile.
      clock.after(
          Duration.ofMillis(1 + random.nextInt(400)), () -> onConnected(counts, fences, reply));
      return reply;
    }

    private void onConnected(
        WindowCounts counts, FencingTokenSource fences, CompletableFuture<ApiReply> reply) {
      if (isCut || fault == Fault.DOWN) {
        reply.complete(ApiReply.NOT_SENT);
        return;
      }
      Optional<FencingNumber> fence = fences.issueForAction();
      if (fence.isEmpty()) {
        reply.complete(ApiReply.NOT_HOLDER);
      } else if (fault == Fault.TOO_MANY_CALLS) {
        clock.after(ANSWER_DELAY, () -> reply.complete(ApiReply.LATER));
      } else {
        reports.add(new Report(vm, fence.get(), counts, timers.nowNanos()));
        boolean isAnswered = fault == Fault.NONE;
        clock.after(
            isAnswered ? ANSWER_DELAY : TIMEOUT,
            () -> reply.complete(isAnswered ? ApiReply.ACCEPTED : ApiReply.UNKNOWN));
      }
    }

    @Override
    public CompletableFuture<Boolean> isReachable(Duration timeout) {
      CompletableFuture<Boolean> reachable = new CompletableFuture<>();
      clock.after(ANSWER_DELAY, () -> reachable.complete(!isCut && fault != Fault.DOWN));
      return reachable;
    }
  }
}
