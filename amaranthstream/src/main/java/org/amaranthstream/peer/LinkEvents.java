package org.amaranthstream.peer;

import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.wire.Frame;

/** Receiver of the events of one connection, on a Netty event loop. */
interface LinkEvents {
  /** Both sides have proved themselves. */
  void onReady(FrameChannel channel, LocalVm peer);

  /** A frame arrived after {@link #onReady}. */
  void onFrame(FrameChannel channel, Frame frame);

  /** The connection is closed; the last call. */
  void onClosed(String reason);
}
