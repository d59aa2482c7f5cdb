package org.amaranthstream.quarantine;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Iterables;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.Incarnation;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PoisonRegistryTest {
  private static final Fingerprint CONTENT = new Fingerprint("0123456789abcdef0123456789abcdef");
  private static final Duration QUARANTINE = Duration.ofNanos(100);

  private final PoisonRegistry registry = PoisonRegistry.create(QUARANTINE);

  private static Crash crash(String server, String incarnation) {
    return new Crash(BackendServerId.of(server), Optional.of(Incarnation.of(incarnation)));
  }

  @Nested
  class Quarantine {
    @Test
    void followsTwoCrashesOfDistinctIncarnations() {
      registry.onCrash(CONTENT, crash("e1", "a"), 10);
      assertThat(registry.isSuspect(CONTENT, 10)).isTrue();
      assertThat(registry.remainingQuarantine(CONTENT, 10)).isEmpty();
      registry.onCrash(CONTENT, crash("e1", "a"), 11);
      assertThat(registry.remainingQuarantine(CONTENT, 11)).isEmpty();
      registry.onCrash(CONTENT, crash("e1", "b"), 20);

      assertThat(registry.remainingQuarantine(CONTENT, 20)).hasValue(QUARANTINE);
      assertThat(registry.remainingQuarantine(CONTENT, 120)).isEmpty();
    }

    @Test
    void endsWhenCrashIsRefuted() {
      registry.onCrash(CONTENT, crash("e1", "a"), 10);
      registry.onCrash(CONTENT, crash("e2", "a"), 10);
      registry.onCrashRefuted(crash("e2", "a"));

      assertThat(registry.remainingQuarantine(CONTENT, 11)).isEmpty();
      assertThat(registry.isSuspect(CONTENT, 11)).isTrue();
    }

    @Test
    void followsThreeLostRunsAlthoughTheirCrashesWereRefuted() {
      for (int i = 0; i < 3; i++) {
        assertThat(registry.remainingQuarantine(CONTENT, 10 + i)).isEmpty();
        registry.onCrash(CONTENT, crash("e1", "a"), 10 + i);
        registry.onRunLost(CONTENT, 10 + i);
        registry.onCrashRefuted(crash("e1", "a"));
      }

      assertThat(registry.remainingQuarantine(CONTENT, 12)).hasValue(QUARANTINE);
    }

    @Test
    void needsLostRunsWithoutCompletionBetweenThem() {
      for (int i = 0; i < 6; i++) {
        registry.onRunLost(CONTENT, 10 + i);
        if (i % 2 == 1) {
          registry.onCompleted(CONTENT);
        }
      }

      assertThat(registry.remainingQuarantine(CONTENT, 15)).isEmpty();
    }

    @Test
    void isAdoptedFromAnotherVm() {
      registry.adoptQuarantine(CONTENT, Duration.ofNanos(30), 0);

      assertThat(registry.remainingQuarantine(CONTENT, 29)).isPresent();
      assertThat(registry.remainingQuarantine(CONTENT, 30)).isEmpty();
      assertThat(registry.quarantined(10)).containsKey(CONTENT);
    }
  }

  @Nested
  class Merge {
    @Test
    void countsTheCrashesOfBothVms() {
      PoisonRegistry other = PoisonRegistry.create(QUARANTINE);
      registry.onCrash(CONTENT, crash("e1", "a"), 10);
      other.onCrash(CONTENT, crash("e2", "a"), 1010);
      other.export(1010).forEach(notice -> registry.merge(notice, 20));

      assertThat(registry.remainingQuarantine(CONTENT, 20)).isPresent();
    }

    @Test
    void clearsTheCrashesOfContentThatCompletedAtTheOtherVm() {
      PoisonRegistry other = PoisonRegistry.create(QUARANTINE);
      registry.onCrash(CONTENT, crash("e1", "a"), 10);
      registry.export(10).forEach(notice -> other.merge(notice, 10));
      registry.onCompleted(CONTENT);
      registry.export(11).forEach(notice -> other.merge(notice, 11));

      assertThat(other.isSuspect(CONTENT, 11)).isFalse();
    }

    @Test
    void keepsCrashesThatOnlyTheOtherVmTakesForRefuted() {
      PoisonRegistry other = PoisonRegistry.create(QUARANTINE);
      registry.onCrash(CONTENT, crash("e1", "a"), 10);
      registry.export(10).forEach(notice -> other.merge(notice, 10));
      registry.onCrashRefuted(crash("e1", "a"));
      registry.export(11).forEach(notice -> other.merge(notice, 11));

      assertThat(other.isSuspect(CONTENT, 11)).isTrue();
    }

    @Test
    void ignoresClearedCrashes() {
      registry.onCrash(CONTENT, crash("e1", "a"), 10);
      PoisonNotice notice = registry.export(10).get(0);
      registry.onCompleted(CONTENT);
      registry.merge(notice, 20);

      assertThat(registry.isSuspect(CONTENT, 20)).isFalse();
      PoisonNotice later = Iterables.getOnlyElement(registry.export(20));
      assertThat(later.crashes()).isEmpty();
      assertThat(later.cleared()).containsExactly(crash("e1", "a"));
    }
  }
}
