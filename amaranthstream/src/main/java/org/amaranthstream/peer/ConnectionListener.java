package org.amaranthstream.peer;

import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.wire.Frame;

/** Listener of one connection. Called on the connection's Netty event loop. */
interface ConnectionListener {
  /** Called when both sides have authenticated. */
  void onReady(FrameChannel channel, LocalVm peer);

  /** Called for each frame that arrives after {@link #onReady}. */
  void onFrame(FrameChannel channel, Frame frame);

  /** Called when the connection is closed. No other call follows. */
  void onClosed(String reason);
}
