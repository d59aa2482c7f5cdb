package org.amaranthstream.peer;

import org.amaranthstream.peer.wire.Frame;

/** Listener of accepted connections. Called on the decision thread. */
interface InboundLinkListener {
  /** Called for each frame that the remote side sends. */
  void onInboundFrame(InboundLink link, Frame frame);

  /** Called when the connection is closed. No response can be sent on it. */
  void onInboundClosed(InboundLink link);
}
