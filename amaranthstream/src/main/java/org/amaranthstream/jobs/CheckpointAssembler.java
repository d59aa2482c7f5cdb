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
 * what is there is left out, since one previous it is missing.
 */
final class CheckpointAssembler {
  private CheckpointAssembler() {}

  /** Returns the text of each item, from parts in the order in which they were saved. */
  static ImmutableList<PartialOutput> assemble(List<CheckpointPart> parts) {
    Map<ItemId, PartialOutput> texts = new LinkedHashMap<>();
    for (CheckpointPart part : parts) {
      PartialOutput previous = texts.get(part.item());
      int length = previous == null ? 0 : previous.text().length;
      if (part.offset() <= length) {
        texts.put(part.item(), append(previous, part));
      }
    }
    return ImmutableList.copyOf(texts.values());
  }

  private static PartialOutput append(@Nullable PartialOutput previous, CheckpointPart part) {
    byte[] text =
        previous == null ? new byte[part.end()] : Arrays.copyOf(previous.text(), part.end());
    System.arraycopy(part.text(), 0, text, part.offset(), part.text().length);
    return new PartialOutput(part.item(), text, part.lastEvent(), part.versions(), false);
  }
}
