package org.amaranthstream.fleet;

import java.util.ArrayList;
import java.util.List;

/** A listener that records the changes of the registered daemons. */
final class RecordedFleetChanges implements FleetListener {
  private final List<NodesChange> changes = new ArrayList<>();

  @Override
  public void onNodesChanged(NodesChange change) {
    changes.add(change);
  }

  List<NodesChange> changes() {
    return changes;
  }

  int joined() {
    return changes.stream().mapToInt(change -> change.joined().size()).sum();
  }
}
