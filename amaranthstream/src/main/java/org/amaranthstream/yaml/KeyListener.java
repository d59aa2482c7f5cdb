package org.amaranthstream.yaml;

/** Listener for the keys that a reader reads; tests compare them with the documentation. */
@FunctionalInterface
public interface KeyListener {

  /** A listener that ignores all keys. */
  KeyListener NONE = path -> {};

  /**
   * Called when a key is read or checked for presence, at most once for each mapping node.
   *
   * @param path the path of the key, in which {@code []} stands for any index and {@code *} for any
   *     name
   */
  void onKeyRead(String path);
}
