package org.amaranthstream.peer;

import org.amaranthstream.peer.wire.Frame;

/** Receiver of the events of accepted connections, on the decision thread. */
interface InboundObserver {
  /** The other side sent a frame. */
  void onInboundFrame(InboundLink link, Frame frame);

  /** The connection is gone; nothing can be answered on it any more. */
  void onInboundClosed(InboundLink link);
}
