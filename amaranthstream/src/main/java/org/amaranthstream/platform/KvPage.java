package org.amaranthstream.platform;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.ids.Revision;

/**
 * A page of entries. Pages of one listing are not a snapshot.
 *
 * @param entries the entries, in the order of their keys
 * @param hasMore true if more entries follow the last one
 * @param revision the store's revision at the time of the read
 */
public record KvPage(ImmutableList<KvEntry> entries, boolean hasMore, Revision revision) {}
