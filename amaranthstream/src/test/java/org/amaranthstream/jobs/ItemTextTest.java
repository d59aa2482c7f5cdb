package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.memory.MemoryBudget;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Test;

class ItemTextTest {
  private static final ItemId ITEM = ItemId.of("i");
  private static final int MAX_BYTES = 100;

  private final ItemText text =
      new ItemText(MemoryBudget.ofHeap(VirtualTimerService.create()).open());

  private void generate(String... events) {
    for (String data : events) {
      long id = text.lastEvent() + 1;
      text.add(
          new ItemEvent(id, data.getBytes(UTF_8), Optional.empty()),
          Optional.of(WeightVersion.of(1)),
          SoftwareVersion.of("v1"));
    }
  }

  private String unsaved() {
    return text.takeUnsaved(ITEM).map(part -> new String(part.text(), UTF_8)).orElse("");
  }

  @Test
  void returnsOnlyTextAfterTheSavedPart() {
    generate("a", "b");
    text.takeUnsaved(ITEM);
    text.markSaved();
    generate("c");

    assertThat(unsaved()).isEqualTo("\nc");
  }

  @Test
  void includesPartThatWasNotSavedInTheNext() {
    generate("a", "b");
    generate("c");

    assertThat(unsaved()).isEqualTo("a\nb\nc");
  }

  /** Guards against an acknowledgement that arrives after the text was discarded and replaced. */
  @Test
  void returnsAllTextThatWasGeneratedAfterClear() {
    generate("a", "b");
    text.takeUnsaved(ITEM);
    text.clear();
    generate("x", "y");
    text.markSaved();

    assertThat(unsaved()).isEqualTo("x\ny");
  }

  @Test
  void rejectsEventBeyondTheLengthThatCallersCanRead() {
    generate("x".repeat(ItemText.MAX_BYTES));

    assertThat(
            text.add(
                new ItemEvent(2, new byte[0], Optional.empty()),
                Optional.empty(),
                SoftwareVersion.of("v1")))
        .isEqualTo(ItemText.Added.TOO_LONG);
  }

  /** Guards against memory that is granted to others while the text is still referenced. */
  @Test
  void isDiscardedBeforeItsMemoryIsGivenBack() {
    MemoryBudget budget = MemoryBudget.of(VirtualTimerService.create(), MAX_BYTES);
    ItemText discarded = new ItemText(budget.open());
    ItemEvent event = new ItemEvent(1, new byte[MAX_BYTES], Optional.empty());
    discarded.add(event, Optional.empty(), SoftwareVersion.of("v1"));
    List<Integer> sizes = new ArrayList<>();
    budget
        .open()
        .growWithin(MAX_BYTES, Duration.ofSeconds(1), isTaken -> sizes.add(discarded.size()));
    discarded.clear();

    assertThat(sizes).containsExactly(0);
  }
}
