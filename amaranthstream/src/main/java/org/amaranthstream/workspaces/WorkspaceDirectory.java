package org.amaranthstream.workspaces;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.amaranthstream.auth.TokenDigest;
import org.amaranthstream.ids.WorkspaceId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * Workspaces of a configuration, looked up by key or by name.
 *
 * <p>Answers the load of one lookup for each request, with thousands of keys: a lookup hashes the
 * key once and reads one entry of a hash table. A key that several workspaces hold names none of
 * them. Immutable and thread safe.
 */
public final class WorkspaceDirectory {
  private static final WorkspaceDirectory NONE =
      new WorkspaceDirectory(false, ImmutableMap.of(), ImmutableMap.of(), ImmutableSet.of());

  private final boolean isConfigured;
  private final ImmutableMap<WorkspaceId, Workspace> byId;
  private final ImmutableMap<TokenDigest, WorkspaceId> byKey;
  private final ImmutableSet<WorkspaceId> sharingKeys;

  private WorkspaceDirectory(
      boolean isConfigured,
      ImmutableMap<WorkspaceId, Workspace> byId,
      ImmutableMap<TokenDigest, WorkspaceId> byKey,
      ImmutableSet<WorkspaceId> sharingKeys) {
    this.isConfigured = isConfigured;
    this.byId = byId;
    this.byKey = byKey;
    this.sharingKeys = sharingKeys;
  }

  /** Returns the directory of a configuration without workspaces, in which no key is needed. */
  public static WorkspaceDirectory none() {
    return NONE;
  }

  /**
   * Returns the directory of {@code workspaces}; of several with one name, the last is kept.
   * Without any workspace, no key is valid.
   */
  public static WorkspaceDirectory of(Iterable<Workspace> workspaces) {
    ImmutableMap.Builder<WorkspaceId, Workspace> builder = ImmutableMap.builder();
    workspaces.forEach(workspace -> builder.put(workspace.id(), workspace));
    ImmutableMap<WorkspaceId, Workspace> byId = builder.buildKeepingLast();
    Map<TokenDigest, WorkspaceId> byKey = new HashMap<>();
    Map<TokenDigest, WorkspaceId> ambiguous = new HashMap<>();
    TreeSet<WorkspaceId> sharing = new TreeSet<>();
    for (Workspace workspace : byId.values()) {
      for (TokenDigest key : workspace.keys()) {
        WorkspaceId other = byKey.putIfAbsent(key, workspace.id());
        if (other != null) {
          ambiguous.put(key, other);
          sharing.add(other);
          sharing.add(workspace.id());
        }
      }
    }
    byKey.keySet().removeAll(ambiguous.keySet());
    return new WorkspaceDirectory(
        true, byId, ImmutableMap.copyOf(byKey), ImmutableSet.copyOf(sharing));
  }

  /** Returns true if the configuration has a list of workspaces, so that requests need a key. */
  public boolean isConfigured() {
    return isConfigured;
  }

  /** Returns the number of workspaces. */
  public int size() {
    return byId.size();
  }

  /** Returns the workspaces by name. */
  public ImmutableMap<WorkspaceId, Workspace> workspaces() {
    return byId;
  }

  /** Returns the workspaces that hold a key of another workspace, which names none of them. */
  public ImmutableSet<WorkspaceId> sharingKeys() {
    return sharingKeys;
  }

  /**
   * Decides whether a request may be served, and for which workspace.
   *
   * @param authorization the values of the request's {@code Authorization} headers
   * @param isPublic true if the request's route needs no key
   * @return the workspace of the key, empty if no workspaces are configured or if the route is
   *     public and the request has no known key; {@code UNAUTHENTICATED} if a key is needed and the
   *     request has none, an unknown one, or several headers
   */
  public Result<Optional<WorkspaceId>> authorize(List<String> authorization, boolean isPublic) {
    if (!isConfigured) {
      return Result.success(Optional.empty());
    }
    Optional<WorkspaceId> workspace =
        authorization.size() == 1
            ? TokenDigest.ofBearer(authorization.get(0)).map(byKey::get)
            : Optional.empty();
    return workspace.isPresent() || isPublic
        ? Result.success(workspace)
        : Result.failure(ResultCode.UNAUTHENTICATED, "the request has no valid key of a workspace");
  }

  /**
   * Returns the priority of a request: that of its workspace if it has one, or else that of its
   * route. 0 is the most urgent.
   */
  public int effectivePriority(Optional<WorkspaceId> workspace, int routePriority) {
    Workspace found = workspace.map(byId::get).orElse(null);
    return found == null ? routePriority : found.priority().orElse(routePriority);
  }
}
