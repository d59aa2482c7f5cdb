package org.amaranthstream.peer;

import org.amaranthstream.peer.wire.Frame;

/** Listener of outbound links. Called on the decision thread. */
interface LinkListener {
  /** Called when the link has an authenticated connection. */
  void onLinkReady(PeerLink link);

  /** Called for each frame that the remote side sends. */
  void onLinkFrame(PeerLink link, Frame frame);

  /** Called when the connection is lost. Frames sent on it without a response may have arrived. */
  void onLinkLost(PeerLink link, String reason);
}
