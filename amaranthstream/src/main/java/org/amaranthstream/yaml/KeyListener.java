package org.amaranthstream.yaml;

/** Is told of each key that a reader asks for, so that a test can compare them with the docs. */
@FunctionalInterface
public interface KeyListener {

  /** A listener that ignores all keys. */
  KeyListener NONE = path -> {};

  /** Takes the path of a key: {@code []} stands for any item and {@code *} for any name. */
  void asked(String path);
}
