package org.amaranthstream.slots;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.WeightVersion;
import org.junit.jupiter.api.Test;

/** Replays work that waits for the slots of one daemon, one slot at a time. */
class WorkOrderTest {
  private static final int SLOTS = 40;
  private static final int ENDED_AT_ONCE = 8;

  private final Map<String, SlotDemand> work = new LinkedHashMap<>();
  private final Map<String, Integer> served = new LinkedHashMap<>();

  private void add(String name, String workspace, int priority, int waiting, boolean isLate) {
    work.put(name, demand(workspace, priority, 0, waiting, isLate));
    served.put(name, 0);
  }

  private static SlotDemand demand(
      String workspace, int priority, int running, int waiting, boolean isLate) {
    return new SlotDemand(
        workspace,
        priority,
        ImmutableSet.of(ServiceId.of("engine")),
        ModelId.of("model"),
        WeightVersion.of(1),
        running,
        waiting,
        isLate);
  }

  /** Fills the slots, and ends the runs of some of them in each round, oldest first. */
  private void replay(int rounds) {
    List<String> running = new ArrayList<>();
    for (int round = 0; round < rounds; round++) {
      while (running.size() < SLOTS && hasWaiting()) {
        String next = next();
        served.merge(next, 1, Integer::sum);
        running.add(next);
        change(next, 1);
      }
      for (int i = 0; i < ENDED_AT_ONCE && !running.isEmpty(); i++) {
        change(running.remove(0), -1);
      }
    }
  }

  private boolean hasWaiting() {
    return work.values().stream().anyMatch(demand -> demand.waiting() > 0);
  }

  private String next() {
    List<WorkOrder.Candidate<String>> candidates = new ArrayList<>();
    work.forEach(
        (name, demand) -> {
          if (demand.waiting() > 0) {
            candidates.add(new WorkOrder.Candidate<>(name, demand, Duration.ZERO));
          }
        });
    return WorkOrder.byShare(candidates).get(0).work();
  }

  private void change(String name, int started) {
    SlotDemand before = work.get(name);
    work.put(
        name,
        demand(
            before.sharer(),
            before.priority(),
            before.running() + started,
            before.waiting() - Math.max(0, started),
            before.isLate()));
  }

  @Test
  void delaysOnlyTheHeavyWorkspace() {
    for (int i = 0; i < 10; i++) {
      add("heavy" + i, "heavy", 1, 500, false);
    }
    add("light", "light", 1, 500, false);
    replay(50);

    int heavy = served.values().stream().mapToInt(Integer::intValue).sum() - served.get("light");
    assertThat(served.get("light")).isAtLeast(heavy * 9 / 10);
  }

  @Test
  void prefersUrgentWorkWithoutStarvingOther() {
    add("urgent", "a", 0, 2_000, false);
    add("batch", "b", 9, 2_000, false);
    replay(50);

    assertThat(served.get("urgent")).isGreaterThan(2 * served.get("batch"));
    assertThat(served.get("batch")).isAtLeast(served.get("urgent") / 4);
  }

  /** Two steps of one trainer, of which the older cannot be in time any more. */
  @Test
  void letsLateWorkYieldWithoutStarvingIt() {
    add("late", "a", 1, 2_000, true);
    add("inTime", "a", 1, 2_000, false);
    replay(50);

    assertThat(served.get("inTime")).isGreaterThan(served.get("late"));
    assertThat(served.get("late")).isAtLeast(served.get("inTime") / 4);
  }

  @Test
  void prefersWhatIsDueFirstAmongEquals() {
    SlotDemand demand = demand("a", 1, 0, 1, false);
    List<WorkOrder.Candidate<String>> candidates =
        List.of(
            new WorkOrder.Candidate<>("later", demand, Duration.ofSeconds(7)),
            new WorkOrder.Candidate<>("sooner", demand, Duration.ofSeconds(3)));

    assertThat(WorkOrder.byShare(candidates).get(0).work()).isEqualTo("sooner");
  }
}
