package org.amaranthstream.peer;

import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.wire.Frame;

/** Passes events on, and runs a task once both sides have proved themselves. */
final class AuthenticatedEvents implements LinkEvents {
  private final LinkEvents delegate;
  private final Runnable onAuthenticated;

  AuthenticatedEvents(LinkEvents delegate, Runnable onAuthenticated) {
    this.delegate = delegate;
    this.onAuthenticated = onAuthenticated;
  }

  @Override
  public void onReady(FrameChannel channel, LocalVm peer) {
    onAuthenticated.run();
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
