package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.WeightVersion;
import org.junit.jupiter.api.Test;

class SavedTextsTest {

  private static TextPart part(String item, int offset, String text, long lastEvent) {
    return new TextPart(
        ItemId.of(item),
        offset,
        text.getBytes(UTF_8),
        lastEvent,
        ImmutableSortedSet.of(WeightVersion.of(lastEvent)));
  }

  private static ItemPartial only(TextPart... parts) {
    ImmutableList<ItemPartial> texts = SavedTexts.join(ImmutableList.copyOf(parts));
    assertThat(texts).hasSize(1);
    return texts.get(0);
  }

  private static String text(ItemPartial partial) {
    return new String(partial.text(), UTF_8);
  }

  @Test
  void partsFollowEachOther() {
    ItemPartial joined = only(part("i", 0, "a\nb", 2), part("i", 3, "\nc", 3));

    assertThat(text(joined)).isEqualTo("a\nb\nc");
    assertThat(joined.lastEvent()).isEqualTo(3);
    assertThat(joined.versions()).containsExactly(WeightVersion.of(3));
    assertThat(joined.isWhole()).isFalse();
  }

  @Test
  void partThatWasSavedTwiceStandsOnce() {
    ItemPartial joined =
        only(part("i", 0, "a", 1), part("i", 1, "\nb", 2), part("i", 1, "\nb\nc", 3));

    assertThat(text(joined)).isEqualTo("a\nb\nc");
  }

  @Test
  void textThatWasGivenUpIsReplaced() {
    ItemPartial joined = only(part("i", 0, "old\ntext", 2), part("i", 0, "new", 1));

    assertThat(text(joined)).isEqualTo("new");
    assertThat(joined.lastEvent()).isEqualTo(1);
  }

  @Test
  void partAfterOneThatIsMissingIsLeftOut() {
    ItemPartial joined = only(part("i", 0, "a", 1), part("i", 3, "\nc", 3));

    assertThat(text(joined)).isEqualTo("a");
  }

  @Test
  void itemsAreApart() {
    assertThat(
            SavedTexts.join(ImmutableList.of(part("i", 0, "a", 1), part("j", 0, "b", 1))).stream()
                .map(SavedTextsTest::text))
        .containsExactly("a", "b");
  }
}
