package org.amaranthstream.prompts;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Range;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.PromptPartId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.routing.EngineCapacity;
import org.amaranthstream.servers.ServerChoice;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.ServerRegistration;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PromptPlacementTest {
  private static final ServiceId SERVICE = ServiceId.of("engines");
  private static final AvailabilityZoneId ZONE = AvailabilityZoneId.of("a");
  private static final ModelId MODEL = ModelId.of("m");
  private static final int SLOTS = 8;
  private static final long MEMORY_TOKENS = 30_000;
  private static final long SHARED_TOKENS = 1_000;
  private static final long OWN_TOKENS = 16;
  private static final long OUTPUT_TOKENS = 500;
  private static final int ENGINES = 6;

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final ServerDirectory directory = ServerDirectory.create(timers);
  private final ServerChoice choice = ServerChoice.in(ZONE, zone -> Optional.empty());
  private final PromptPlacement placement =
      PromptPlacement.create(
          service -> Optional.of(new EngineCapacity(SLOTS, MEMORY_TOKENS, 100, 1_000)), timers);

  private List<TrackedServer> engines(int count) {
    for (int i = 0; i < count; i++) {
      directory.onRegistration(
          new ServerRegistration(
              BackendServerId.of("e" + i),
              1,
              SERVICE,
              SoftwareVersion.of("v1"),
              "10.0.0.9",
              8080,
              ZONE,
              SLOTS,
              false,
              ImmutableMap.of()));
    }
    return directory.available(SERVICE);
  }

  private static Prompt prompt(int group, int item) {
    return new Prompt(
        MODEL,
        ImmutableList.of(
            new PromptPart(PromptPartId.of("g" + group), SHARED_TOKENS),
            new PromptPart(PromptPartId.of("g" + group + "-" + item), OWN_TOKENS)),
        OUTPUT_TOKENS);
  }

  private TrackedServer choose(List<TrackedServer> engines, Prompt prompt) {
    return choice
        .choose(
            engines,
            engine -> engine.inFlight() < SLOTS,
            engine -> placement.readTimeAsLoad(engine, prompt),
            timers.nowNanos())
        .orElseThrow();
  }

  /** Plays runs that show how long an engine reads a token, on an engine that is not used after. */
  private void learn(Duration readTime, Duration runTime) {
    TrackedServer engine = engines(ENGINES + 1).get(ENGINES);
    for (int group = 100; group < 120; group++) {
      for (int item = 0; item < 2; item++) {
        PromptRun run = placement.begin(engine, prompt(group, item));
        timers.advance(item == 0 ? Duration.ofMillis(3).plus(readTime) : Duration.ofMillis(3));
        run.onEvent();
        timers.advance(runTime);
        run.onEnded(true);
      }
    }
  }

  @Nested
  class ReadTime {
    @Test
    void isZeroForServicesWithoutStatedCapacity() {
      PromptPlacement unstated = PromptPlacement.create(service -> Optional.empty(), timers);

      assertThat(unstated.readTime(engines(1).get(0), prompt(1, 0))).isEqualTo(Duration.ZERO);
    }

    @Test
    void countsOnlyWhatTheEngineDoesNotHold() {
      learn(Duration.ofMillis(200), Duration.ofSeconds(1));
      TrackedServer engine = engines(1).get(0);
      placement.begin(engine, prompt(1, 0));

      Duration reading = placement.readTime(engine, prompt(2, 0));
      Duration rest = placement.readTime(engine, prompt(1, 1));

      assertThat(reading.toMillis()).isIn(Range.closed(190L, 215L));
      assertThat(rest.toMillis()).isLessThan(10L);
    }

    @Test
    void countsTheWholePromptAfterNewWeights() {
      learn(Duration.ofMillis(200), Duration.ofSeconds(1));
      TrackedServer engine = engines(1).get(0);
      engine.onVersion(MODEL, WeightVersion.of(1));
      placement.begin(engine, prompt(1, 0));
      engine.onVersion(MODEL, WeightVersion.of(2));

      assertThat(placement.readTime(engine, prompt(1, 1)).toMillis()).isAtLeast(190L);
    }
  }

  @Nested
  class Weighing {
    private final List<TrackedServer> engines = engines(2);
    private final TrackedServer holder = engines.get(0);

    private void loadHolder(int requests) {
      for (int i = 0; i < requests; i++) {
        holder.onRequestSent();
      }
      placement.begin(holder, prompt(1, 0));
    }

    @Test
    void prefersTheHolderAmongEqualEnginesBeforeAnyDelayIsKnown() {
      placement.begin(engines.get(1), prompt(1, 0));

      assertThat(choose(engines, prompt(1, 1))).isSameInstanceAs(engines.get(1));
    }

    @Test
    void choosesTheHolderWhileTheSavingIsGreaterThanTheWait() {
      learn(Duration.ofMillis(500), Duration.ofSeconds(1));
      loadHolder(SLOTS / 4);

      assertThat(choose(engines, prompt(1, 1))).isSameInstanceAs(holder);
    }

    @Test
    void choosesAnotherEngineOnceTheWaitIsGreater() {
      learn(Duration.ofMillis(500), Duration.ofSeconds(1));
      loadHolder(SLOTS * 3 / 4);

      assertThat(choose(engines, prompt(1, 1))).isNotSameInstanceAs(holder);
    }

    @Test
    void shortReadingNeverJustifiesWaiting() {
      learn(Duration.ofMillis(2), Duration.ofSeconds(1));
      loadHolder(1);

      assertThat(choose(engines, prompt(1, 1))).isNotSameInstanceAs(holder);
    }

    @Test
    void neverChoosesFullHolder() {
      learn(Duration.ofSeconds(5), Duration.ofSeconds(1));
      loadHolder(SLOTS);

      assertThat(choose(engines, prompt(1, 1))).isNotSameInstanceAs(holder);
    }
  }

  /** A trainer's step: groups of items with a shared prompt arrive together at idle engines. */
  @Nested
  class StepOfGroups {
    private static final int GROUPS = 6;
    private static final int ITEMS = 8;

    private long tokensRead(Duration readTime, PromptCosts costs) {
      learn(readTime, Duration.ofSeconds(1));
      List<TrackedServer> engines = directory.available(SERVICE).subList(0, ENGINES);
      long read = 0;
      for (int group = 0; group < GROUPS; group++) {
        for (int item = 0; item < ITEMS; item++) {
          Prompt prompt = prompt(group, item);
          TrackedServer engine =
              choice
                  .choose(
                      engines,
                      e -> e.inFlight() < SLOTS,
                      e -> costs.readTimeAsLoad(e, prompt),
                      timers.nowNanos())
                  .orElseThrow();
          read += unheldTokens(engine, prompt);
          engine.onRequestSent();
          placement.begin(engine, prompt);
        }
      }
      return read;
    }

    private long tokensReadWithoutWeighing() {
      return new PromptPlacementTest().new StepOfGroups()
          .tokensRead(Duration.ofMillis(500), PromptCosts.NONE);
    }

    private long unheldTokens(TrackedServer engine, Prompt prompt) {
      double perToken =
          placement
                  .readTime(engine, new Prompt(MODEL, prompt(-1, 0).parts().subList(0, 1), 0))
                  .toNanos()
              / (double) SHARED_TOKENS;
      return Math.round(placement.readTime(engine, prompt).toNanos() / perToken);
    }

    @Test
    void promptsThatTakeLongerThanRunsAreReadOnceForEachGroup() {
      long ownTokens = GROUPS * ITEMS * OWN_TOKENS;

      assertThat(tokensRead(Duration.ofMillis(1_500), placement))
          .isAtMost(GROUPS * SHARED_TOKENS + ownTokens + GROUPS * ITEMS);
    }

    @Test
    void shorterPromptsAreReadLessOftenThanWithoutWeighing() {
      long weighed = tokensRead(Duration.ofMillis(500), placement);

      assertThat(weighed).isLessThan(tokensReadWithoutWeighing());
    }

    @Test
    void allSlotsAreUsedAllTheSame() {
      tokensRead(Duration.ofMillis(1_500), placement);
      List<Integer> inFlight = new ArrayList<>();
      directory.available(SERVICE).subList(0, ENGINES).forEach(e -> inFlight.add(e.inFlight()));

      assertThat(inFlight).containsExactly(8, 8, 8, 8, 8, 8);
    }
  }
}
