package org.amaranthstream.peer;

import static com.google.common.base.Preconditions.checkState;

import org.amaranthstream.ids.EntryVmId;
import org.jspecify.annotations.Nullable;

/** A connector that is set when the process starts to listen. */
final class LateConnector implements PeerConnector {
  private @Nullable PeerConnector delegate;

  void set(PeerConnector delegate) {
    this.delegate = delegate;
  }

  @Override
  public Connection connect(String host, int port, EntryVmId expected, LinkEvents events) {
    checkState(delegate != null, "not started");
    return delegate.connect(host, port, expected, events);
  }
}
