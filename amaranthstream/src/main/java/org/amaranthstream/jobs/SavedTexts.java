package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.amaranthstream.ids.ItemId;
import org.jspecify.annotations.Nullable;

/**
 * Puts the texts of open items together from their saved parts.
 *
 * <p>Pure. A part replaces what was saved from its offset on, so a part that was saved twice, or
 * whose text was given up and generated anew, does no harm. A part that begins behind the end of
 * what is there is left out, since one before it is missing.
 */
final class SavedTexts {
  private SavedTexts() {}

  /** Returns the text of each item, from parts in the order in which they were saved. */
  static ImmutableList<ItemPartial> join(List<TextPart> parts) {
    Map<ItemId, ItemPartial> texts = new LinkedHashMap<>();
    for (TextPart part : parts) {
      ItemPartial before = texts.get(part.item());
      int length = before == null ? 0 : before.text().length;
      if (part.offset() <= length) {
        texts.put(part.item(), joined(before, part));
      }
    }
    return ImmutableList.copyOf(texts.values());
  }

  private static ItemPartial joined(@Nullable ItemPartial before, TextPart part) {
    byte[] text = before == null ? new byte[part.end()] : Arrays.copyOf(before.text(), part.end());
    System.arraycopy(part.text(), 0, text, part.offset(), part.text().length);
    return new ItemPartial(part.item(), text, part.lastEvent(), part.versions(), false);
  }
}
