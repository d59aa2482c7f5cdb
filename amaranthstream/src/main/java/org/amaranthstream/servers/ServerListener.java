package org.amaranthstream.servers;

/** Listener for changes of a {@link ServerDirectory}. */
@FunctionalInterface
public interface ServerListener {

  /** Called when servers were added, removed, or changed. */
  void onServersChanged();
}
