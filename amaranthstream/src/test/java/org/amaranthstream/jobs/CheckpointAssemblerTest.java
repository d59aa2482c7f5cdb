package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.util.Optional;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.ids.WeightVersion;
import org.junit.jupiter.api.Test;

class CheckpointAssemblerTest {

  private static CheckpointPart part(String item, int offset, String text, long lastEvent) {
    return new CheckpointPart(
        ItemId.of(item),
        offset,
        text.getBytes(UTF_8),
        lastEvent,
        ImmutableSortedSet.of(WeightVersion.of(lastEvent)),
        Optional.of(SoftwareVersion.of("v1")),
        false);
  }

  private static PartialOutput only(CheckpointPart... parts) {
    ImmutableList<PartialOutput> texts = CheckpointAssembler.assemble(ImmutableList.copyOf(parts));
    assertThat(texts).hasSize(1);
    return texts.get(0);
  }

  private static String text(PartialOutput partial) {
    return new String(partial.text(), UTF_8);
  }

  @Test
  void concatenatesParts() {
    PartialOutput assembled = only(part("i", 0, "a\nb", 2), part("i", 3, "\nc", 3));

    assertThat(text(assembled)).isEqualTo("a\nb\nc");
    assertThat(assembled.lastEvent()).isEqualTo(3);
    assertThat(assembled.versions()).containsExactly(WeightVersion.of(3));
    assertThat(assembled.isComplete()).isFalse();
  }

  @Test
  void usesPartThatWasSavedTwiceOnce() {
    PartialOutput assembled =
        only(part("i", 0, "a", 1), part("i", 1, "\nb", 2), part("i", 1, "\nb\nc", 3));

    assertThat(text(assembled)).isEqualTo("a\nb\nc");
  }

  @Test
  void replacesDiscardedText() {
    PartialOutput assembled = only(part("i", 0, "old\ntext", 2), part("i", 0, "new", 1));

    assertThat(text(assembled)).isEqualTo("new");
    assertThat(assembled.lastEvent()).isEqualTo(1);
  }

  @Test
  void skipsPartAfterMissingOne() {
    PartialOutput assembled = only(part("i", 0, "a", 1), part("i", 3, "\nc", 3));

    assertThat(text(assembled)).isEqualTo("a");
  }

  @Test
  void keepsItemsSeparate() {
    assertThat(
            CheckpointAssembler.assemble(
                    ImmutableList.of(part("i", 0, "a", 1), part("j", 0, "b", 1)))
                .stream()
                .map(CheckpointAssemblerTest::text))
        .containsExactly("a", "b");
  }
}
