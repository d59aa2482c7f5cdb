package org.amaranthstream.peer;

import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.wire.Frame;

/** Listener that runs a callback when the handshake is complete and passes all events on. */
final class AuthenticationListener implements ConnectionListener {
  private final ConnectionListener delegate;
  private final Runnable authenticationCallback;

  AuthenticationListener(ConnectionListener delegate, Runnable authenticationCallback) {
    this.delegate = delegate;
    this.authenticationCallback = authenticationCallback;
  }

  @Override
  public void onReady(FrameChannel channel, LocalVm peer) {
    authenticationCallback.run();
    delegate.onReady(channel, peer);
  }

  @Override
  public void onFrame(FrameChannel channel, Frame frame) {
    delegate.onFrame(channel, frame);
  }

  @Override
  public void onClosed(String reason) {
    delegate.onClosed(reason);
  }
}
