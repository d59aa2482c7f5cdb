package org.amaranthstream.platform;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.ids.Revision;

/**
 * A page of a listing. The pages of one listing are not a consistent snapshot.
 *
 * @param entries the entries, sorted by key
 * @param hasMore true if more entries follow the last one
 * @param revision the revision of the store at the time of the read
 */
public record KvPage(ImmutableList<KvEntry> entries, boolean hasMore, Revision revision) {}
