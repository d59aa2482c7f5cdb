package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableListMultimap;
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
    Optional<RewardCall> rewardCall) {}
