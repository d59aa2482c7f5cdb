package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableListMultimap;
import java.util.OptionalLong;
import org.amaranthstream.ids.GroupId;
import org.amaranthstream.ids.ItemId;

/**
 * One item of a batch job, as it was submitted.
 *
 * @param id the item; also the id of the request that runs it
 * @param path the path of that request
 * @param headers its headers
 * @param body its body; callers do not change it
 * @param tokens the sum of the prompt's tokens and the greatest number of generated tokens
 * @param expectedTokens the caller's estimate of the number of generated tokens
 * @param group the group of items that share a prompt
 */
@SuppressWarnings("ArrayRecordComponent")
public record ItemSpec(
    ItemId id,
    String path,
    ImmutableListMultimap<String, String> headers,
    byte[] body,
    long tokens,
    OptionalLong expectedTokens,
    GroupId group) {}
