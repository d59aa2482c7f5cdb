package org.amaranthstream.workspaces;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.OptionalInt;
import org.amaranthstream.auth.TokenDigest;
import org.amaranthstream.ids.WorkspaceId;

/**
 * Customer whose callers share keys, batch jobs and a priority.
 *
 * @param id the name
 * @param priority the priority of its requests, 0 is the most urgent; empty if the route decides
 * @param keys the digests of its keys
 */
public record Workspace(WorkspaceId id, OptionalInt priority, ImmutableSet<TokenDigest> keys) {

  /** Creates a workspace; no component may be null. */
  public Workspace {
    checkNotNull(id, "id");
    checkNotNull(priority, "priority");
    checkNotNull(keys, "keys");
  }
}
