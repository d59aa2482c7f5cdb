package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.RewardCallId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.routing.Route;
import org.amaranthstream.servers.ServerRegistration;
import org.amaranthstream.time.TimerService;

/**
 * Simulated service that scores items, in virtual time. It checks that no call arrives before the
 * text of its item is complete.
 */
final class SimulatedRewards implements RewardTransport {
  static final ServiceId SERVICE = ServiceId.of("scores");
  static final Duration LATENCY_OBJECTIVE = Duration.ofMillis(200);
  static final Duration ROUTE_TIMEOUT = Duration.ofMillis(1_500);

  private final TimerService timers;
  private final SimulatedServers engines;
  private final Map<RewardCallId, RewardOutcome> outcomes = new HashMap<>();
  private final List<RewardCallId> order = new ArrayList<>();
  private Duration responseDelay = Duration.ofMillis(30);
  private boolean isSilent;
  private int running;
  private int maxRunning;

  SimulatedRewards(TimerService timers, SimulatedServers engines) {
    this.timers = timers;
    this.engines = engines;
  }

  static ServerRegistration server(String id, int slots) {
    return new ServerRegistration(
        BackendServerId.of(id),
        1,
        SERVICE,
        SoftwareVersion.of("v1"),
        "10.0.0.8",
        8080,
        AvailabilityZoneId.of("a"),
        slots,
        false,
        ImmutableMap.of());
  }

  /** Returns the score that the service gives to an item. */
  static Score score(ItemSpec item) {
    return new Score("seal-" + item.rewardCall().get().id());
  }

  /** Makes every call for the item end with {@code outcome}. */
  void setOutcome(String item, RewardOutcome outcome) {
    outcomes.put(RewardCallId.of("call-" + item), outcome);
  }

  void setResponseDelay(Duration delay) {
    responseDelay = delay;
  }

  /** Makes the service stop responding, or respond again to new calls. */
  void setSilent(boolean isSilent) {
    this.isSilent = isSilent;
  }

  /** Returns the calls in the order in which they were sent. */
  List<RewardCallId> order() {
    return order;
  }

  /** Returns the number of calls that were sent for an item. */
  long calls(String item) {
    return order.stream().filter(call -> call.value().equals("call-" + item)).count();
  }

  /** Returns the largest number of calls that ran at the same time. */
  int maxRunning() {
    return maxRunning;
  }

  @Override
  public StageRun start(
      Route route, RewardCall call, Duration timeout, Consumer<RewardOutcome> listener) {
    ItemId item = ItemId.of(call.id().value().substring("call-".length()));
    assertWithMessage("text of %s is complete", item).that(engines.isTextComplete(item)).isTrue();
    order.add(call.id());
    Call started = new Call(call, listener);
    running++;
    maxRunning = Math.max(maxRunning, running);
    if (isSilent || responseDelay.compareTo(timeout) > 0) {
      timers.after(timeout, () -> started.end(new RewardOutcome.Broken("no response in time")));
    } else {
      timers.after(responseDelay, () -> started.end(outcome(call)));
    }
    return started;
  }

  private RewardOutcome outcome(RewardCall call) {
    RewardOutcome scored = new RewardOutcome.Scored(new Score("seal-" + call.id()));
    return outcomes.getOrDefault(call.id(), scored);
  }

  private final class Call implements StageRun {
    private final RewardCall call;
    private final Consumer<RewardOutcome> listener;
    private boolean isOver;

    private Call(RewardCall call, Consumer<RewardOutcome> listener) {
      this.call = call;
      this.listener = listener;
    }

    private void end(RewardOutcome outcome) {
      if (!isOver) {
        isOver = true;
        running--;
        listener.accept(outcome);
      }
    }

    @Override
    public void cancel() {
      if (!isOver) {
        isOver = true;
        running--;
      }
    }

    @Override
    public String toString() {
      return call.id().value();
    }
  }
}
