package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.ItemId;
import org.jspecify.annotations.Nullable;

/**
 * Assembly of the partial outputs of open items from their saved parts.
 *
 * <p>The methods are pure functions. A part replaces all text from its offset on. A part that was
 * saved twice, or a text that was discarded and generated again, is therefore handled correctly. A
 * part whose offset is beyond the end of the assembled text is skipped, since an earlier part is
 * missing.
 */
final class CheckpointAssembler {
  private CheckpointAssembler() {}

  /** Returns the partial output of each item, from parts in the order in which they were saved. */
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
    return new PartialOutput(
        part.item(),
        text,
        part.lastEvent(),
        part.versions(),
        part.softwareVersion(),
        part.isComplete(),
        Optional.empty());
  }
}
