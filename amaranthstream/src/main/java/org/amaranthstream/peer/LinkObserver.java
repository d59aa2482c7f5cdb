package org.amaranthstream.peer;

import org.amaranthstream.peer.wire.Frame;

/** Receiver of the events of outbound links, on the decision thread. */
interface LinkObserver {
  /** The link has an authenticated connection. */
  void onLinkReady(PeerLink link);

  /** The other side sent a frame. */
  void onLinkFrame(PeerLink link, Frame frame);

  /** The connection is gone; what was sent on it and not answered may have arrived or not. */
  void onLinkLost(PeerLink link, String reason);
}
