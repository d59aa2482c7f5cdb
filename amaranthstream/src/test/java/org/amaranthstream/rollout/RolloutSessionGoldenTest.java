package org.amaranthstream.rollout;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.io.Resources;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Compares the events of a trainer's session in virtual time with a golden file. The session has a
 * lost page, a late page and a crash of the step's owner.
 */
class RolloutSessionGoldenTest {
  private static final String GOLDEN = "golden/rollout-session.txt";

  private final DeliveryHarness harness = new DeliveryHarness();
  private final StringBuilder log = new StringBuilder();

  private void note(String event) {
    long millis = Duration.ofNanos(harness.timers.nowNanos()).toMillis();
    log.append(String.format("%6d ms  %s%n", millis, event));
  }

  private void pull(int vm) {
    harness.pull(vm, 3);
    note("pull at vm-" + vm);
  }

  private void deliverPage() {
    harness.nextPage().ifPresent(page -> note("page " + summary(page)));
    harness.deliverPage();
    note("trainer has stored slots " + harness.trainer.storedSlots());
  }

  private static String summary(Page page) {
    StringBuilder text = new StringBuilder();
    for (Sample sample : page.samples()) {
      text.append(" slot ").append(sample.slot()).append(" versions");
      sample
          .segments()
          .forEach(s -> text.append(' ').append(s.version()).append('x').append(s.tokens()));
    }
    return "of pull " + page.pull() + text + " remaining " + page.remaining();
  }

  private void advance(int millis) {
    harness.timers.advance(Duration.ofMillis(millis));
  }

  @Test
  void matchesTheGoldenFile() throws IOException {
    note("step submitted at vm-0");
    pull(0);
    harness.engines(0).generateToken();
    harness.newVersion();
    advance(100);
    harness.engines(0).finish(0);
    deliverPage();

    pull(0);
    advance(100);
    harness.engines(0).finish(0);
    harness.nextPage().ifPresent(page -> note("lost page " + summary(page)));
    harness.delayPages();
    pull(0);
    harness.deliverLatePage();
    note("late page ignored, trainer has stored slots " + harness.trainer.storedSlots());
    deliverPage();

    harness.newVersion();
    note("trainer at version " + harness.trainer.version());
    harness.crash(0);
    note("vm-0 crashes");
    pull(1);
    note("step submitted again at vm-1, running " + harness.engines(1).running());
    pull(1);
    advance(100);
    harness.engines(1).setVersion(harness.trainer.version());
    harness.engines(1).finish(0);
    deliverPage();
    harness.finish();
    note("trainer is done with slots " + harness.trainer.storedSlots());

    Files.writeString(Path.of("target", "rollout-session.actual.txt"), log);
    assertThat(log.toString()).isEqualTo(Resources.toString(Resources.getResource(GOLDEN), UTF_8));
  }
}
