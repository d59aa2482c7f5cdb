package org.amaranthstream.jobs;

import java.util.Optional;
import org.amaranthstream.ids.WorkspaceId;

/**
 * Request to run an item at a server.
 *
 * @param host the host name that the job's route matches
 * @param workspace the workspace whose item it is, empty where no workspaces are configured
 * @param item the item to run
 * @param lastEvent the sequence number of the last event already received, 0 to start at the
 *     beginning
 */
public record ItemRequest(
    String host, Optional<WorkspaceId> workspace, ItemSpec item, long lastEvent) {}
