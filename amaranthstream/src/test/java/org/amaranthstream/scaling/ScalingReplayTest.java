package org.amaranthstream.scaling;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.amaranthstream.duties.ApiReply;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.routing.ScalingPolicy;
import org.junit.jupiter.api.Test;

/**
 * Replays loads in quarter seconds: servers that work on what is due first, boot, and are
 * reclaimed, and the planner that orders them. Work is due 8 s after it came, and comes as a step
 * each 4 s.
 */
class ScalingReplayTest {
  private static final long TICK_MILLIS = 250;
  private static final int STEP_MILLIS = 4_000;
  private static final int DUE_MILLIS = 8_000;
  private static final AvailabilityZoneId A = AvailabilityZoneId.of("a");
  private static final AvailabilityZoneId B = AvailabilityZoneId.of("b");
  private static final AvailabilityZoneId C = AvailabilityZoneId.of("c");
  private static final ScalingPolicy POLICY =
      new ScalingPolicy(
          1,
          10,
          Duration.ofSeconds(4),
          OptionalDouble.of(0.2),
          ImmutableMap.of(A, 1.0, B, 0.8, C, 1.25));

  private static final class Step {
    private final long dueMillis;
    private double leftSeconds;

    private Step(double seconds, long dueMillis) {
      this.leftSeconds = seconds;
      this.dueMillis = dueMillis;
    }
  }

  private record Booting(ServerGroup group, int servers, long readyMillis) {}

  private final ScalingPlanner planner = ScalingPlanner.create();
  private final Map<ServerGroup, Integer> ready = new HashMap<>();
  private final List<Booting> booting = new ArrayList<>();
  private final List<Step> steps = new ArrayList<>();
  private final List<ServerGroup> dry = new ArrayList<>();
  private ServerOrders orders = ServerOrders.startingWith(ImmutableMap.of());
  private boolean isApiAway;
  private long nowMillis;
  private double price;
  private int lateSteps;
  private int calls;

  private static ServerGroup spot(AvailabilityZoneId zone) {
    return new ServerGroup(zone, ServerKind.RECLAIMABLE);
  }

  private static ServerGroup regular(AvailabilityZoneId zone) {
    return new ServerGroup(zone, ServerKind.REGULAR);
  }

  private void startWith(int regularPerZone) {
    for (AvailabilityZoneId zone : List.of(A, B, C)) {
      ready.put(regular(zone), regularPerZone);
    }
    orders = ServerOrders.startingWith(ImmutableMap.copyOf(ready));
  }

  private int serving() {
    return ready.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Runs for a while with a step of {@code stepSeconds} server seconds every 4 s. */
  private void run(int seconds, double stepSeconds) {
    for (long end = nowMillis + seconds * 1_000L; nowMillis < end; nowMillis += TICK_MILLIS) {
      if (nowMillis % STEP_MILLIS == 0) {
        steps.add(new Step(stepSeconds, nowMillis + DUE_MILLIS));
      }
      boot();
      work();
      orders.setWanted(planner.plan(input(stepSeconds), nowMillis * 1_000_000));
      send();
    }
  }

  private void boot() {
    booting.removeIf(
        boot -> {
          boolean isReady = nowMillis >= boot.readyMillis();
          if (isReady) {
            ready.merge(boot.group(), boot.servers(), Integer::sum);
          }
          return isReady;
        });
  }

  private void work() {
    double capacity = serving() * TICK_MILLIS / 1_000.0;
    for (Step step : steps) {
      double done = Math.min(capacity, step.leftSeconds);
      step.leftSeconds -= done;
      capacity -= done;
      if (step.dueMillis == nowMillis && step.leftSeconds > 1e-6) {
        lateSteps++;
      }
    }
    steps.removeIf(step -> step.leftSeconds <= 1e-6 || step.dueMillis <= nowMillis);
    ServerAllocation prices = ServerAllocation.of(POLICY, ImmutableSet.of());
    price += prices.cost(orders.accepted()) * TICK_MILLIS / 1_000.0;
  }

  private ScalingInput input(double stepSeconds) {
    ImmutableList.Builder<ExpectedWork> work = ImmutableList.builder();
    for (Step step : steps) {
      if (step.dueMillis > nowMillis) {
        work.add(expected(step.leftSeconds, 0, step.dueMillis - nowMillis));
      }
    }
    // The trainer's next three steps are known from its interval.
    long next = STEP_MILLIS - nowMillis % STEP_MILLIS;
    for (int i = 0; i < 3; i++) {
      long start = next + i * (long) STEP_MILLIS;
      work.add(expected(stepSeconds, start, start + DUE_MILLIS));
    }
    return new ScalingInput(
        POLICY,
        work.build(),
        ImmutableMap.copyOf(ready),
        orders.accepted(),
        orders.unavailable(nowMillis * 1_000_000));
  }

  private static ExpectedWork expected(double seconds, long startMillis, long dueMillis) {
    return new ExpectedWork(
        Duration.ofMillis((long) (seconds * 1_000)),
        Duration.ofMillis(startMillis),
        Duration.ofMillis(dueMillis));
  }

  private void send() {
    Optional<ServerOrders.Order> order = orders.next(nowMillis * 1_000_000);
    while (order.isPresent()) {
      calls++;
      ApiReply reply = reply(order.get());
      if (reply == ApiReply.ACCEPTED) {
        carryOut(order.get());
      }
      orders.onReply(order.get(), reply, nowMillis * 1_000_000);
      order = orders.next(nowMillis * 1_000_000);
    }
  }

  private ApiReply reply(ServerOrders.Order order) {
    boolean isMore = order.servers() > orders.accepted().getOrDefault(order.group(), 0);
    if (isApiAway) {
      return ApiReply.NOT_SENT;
    }
    return isMore && dry.contains(order.group()) ? ApiReply.UNAVAILABLE : ApiReply.ACCEPTED;
  }

  private void carryOut(ServerOrders.Order order) {
    ServerGroup group = order.group();
    int more = order.servers() - orders.accepted().getOrDefault(group, 0);
    if (more > 0) {
      booting.add(new Booting(group, more, nowMillis + POLICY.bootTime().toMillis()));
    } else {
      ready.merge(group, more, Integer::sum);
    }
  }

  private void reclaim(AvailabilityZoneId zone) {
    ready.put(spot(zone), 0);
    booting.removeIf(boot -> boot.group().equals(spot(zone)));
    orders.onReclaimed(spot(zone));
    dry.add(spot(zone));
  }

  private int reclaimable(AvailabilityZoneId zone) {
    return ready.getOrDefault(spot(zone), 0);
  }

  @Test
  void waveIsServedInTimeForLessThanFixedServers() {
    startWith(4);
    run(20, 20);
    run(40, 60);
    run(60, 10);

    assertThat(lateSteps).isEqualTo(0);
    double fixedPrice = 120 * (5 * 1.0 + 5 * 0.8 + 5 * 1.25);
    assertThat(price).isLessThan(fixedPrice);
  }

  @Test
  void stepThatDoublesIsServedInTime() {
    startWith(4);
    run(20, 20);
    run(20, 40);

    assertThat(lateSteps).isEqualTo(0);
  }

  @Test
  void zoneReclaimedAtThePeakMakesNoStepLate() {
    startWith(4);
    run(40, 60);
    AvailabilityZoneId zone = reclaimable(B) > 0 ? B : A;
    assertThat(reclaimable(zone)).isGreaterThan(0);
    reclaim(zone);
    run(40, 60);

    assertThat(lateSteps).isEqualTo(0);
  }

  @Test
  void otherGroupsAreOrderedWhenOneHasNoServers() {
    startWith(4);
    dry.add(spot(A));
    dry.add(spot(B));
    dry.add(spot(C));
    run(60, 60);

    assertThat(lateSteps).isEqualTo(0);
    assertThat(calls).isAtMost(30);
  }

  @Test
  void ordersDoNotPileUpWhileTheApiIsAway() {
    startWith(4);
    run(20, 20);
    int before = calls;
    isApiAway = true;
    run(15, 60);
    final int whileAway = calls - before;
    isApiAway = false;
    before = calls;
    run(12, 60);

    assertThat(whileAway).isAtMost(2 * 15 + 1);
    assertThat(calls - before).isAtMost(12);
    lateSteps = 0;
    run(24, 60);
    assertThat(lateSteps).isEqualTo(0);
  }

  @Test
  void steadyLoadChangesNothingForLong() {
    startWith(4);
    run(40, 40);
    int before = calls;
    run(60, 40);

    assertThat(calls - before).isEqualTo(0);
  }

  @Test
  void boundsOfEachZoneAreKept() {
    startWith(4);
    run(30, 400);

    for (AvailabilityZoneId zone : List.of(A, B, C)) {
      int servers = ready.getOrDefault(spot(zone), 0) + ready.getOrDefault(regular(zone), 0);
      assertThat(servers).isAtMost(POLICY.maxServers());
    }
    run(60, 0);
    for (AvailabilityZoneId zone : List.of(A, B, C)) {
      assertThat(ready.getOrDefault(spot(zone), 0) + ready.getOrDefault(regular(zone), 0))
          .isAtLeast(POLICY.minServers());
    }
  }
}
