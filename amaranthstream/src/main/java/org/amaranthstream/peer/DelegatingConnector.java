package org.amaranthstream.peer;

import static com.google.common.base.Preconditions.checkState;

import org.amaranthstream.ids.EntryVmId;
import org.jspecify.annotations.Nullable;

/** Connector that passes calls to a delegate, which is set when the process starts to listen. */
final class DelegatingConnector implements PeerConnector {
  private @Nullable PeerConnector delegate;

  void set(PeerConnector delegate) {
    this.delegate = delegate;
  }

  @Override
  public Connection connect(
      String host, int port, EntryVmId expected, ConnectionListener listener) {
    checkState(delegate != null, "connector is used before its delegate is set");
    return delegate.connect(host, port, expected, listener);
  }
}
