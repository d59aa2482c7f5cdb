package org.amaranthstream.servers;

/** Hears of the changes of a {@link ServerDirectory}. */
@FunctionalInterface
public interface ServerListener {

  /** The servers or what is known of them has changed. */
  void onServersChanged();
}
