package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableListMultimap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthstream.ids.GroupId;
import org.amaranthstream.ids.ItemId;

/**
 * Item of a batch job, as submitted.
 *
 * @param id the id of the item and of the request that runs it
 * @param path the path of the request
 * @param headers the headers of the request
 * @param body the body of the request; must not be modified
 * @param tokens the number of prompt tokens plus the maximum number of generated tokens
 * @param expectedTokens the caller's estimate of the number of generated tokens
 * @param group the group of items that share a prompt
 * @param rewardCall the call that scores the complete text, empty if the item needs no score
 */
@SuppressWarnings("ArrayRecordComponent")
public record ItemSpec(
    ItemId id,
    String path,
    ImmutableListMultimap<String, String> headers,
    byte[] body,
    long tokens,
    OptionalLong expectedTokens,
    GroupId group,
    Optional<RewardCall> rewardCall) {
  /** Bytes that an item takes on the heap besides its texts and bodies, with its progress. */
  public static final int OVERHEAD_BYTES = 1_000;

  /** Bytes that a header takes on the heap besides its characters. */
  public static final int HEADER_OVERHEAD_BYTES = 250;

  /** Returns the memory that the item takes. */
  long memoryBytes() {
    long bytes = OVERHEAD_BYTES + path.length() + body.length;
    for (Map.Entry<String, String> header : headers.entries()) {
      bytes += HEADER_OVERHEAD_BYTES + header.getKey().length() + header.getValue().length();
    }
    return bytes + rewardCall.map(call -> call.body().length).orElse(0);
  }
}
