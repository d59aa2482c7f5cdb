package org.amaranthstream.servers;

/** Listener for servers that announce in a response that they are leaving. */
@FunctionalInterface
public interface LeavingListener {
  /** Called once for each incarnation, when this daemon is the first to learn that it leaves. */
  void onServerLeaving(TrackedServer server);
}
