package org.amaranthstream.config;

import java.util.Optional;

/** An in-memory storage that tests keep across restarts of a manager. Not thread safe. */
final class InMemoryConfigStorage implements ConfigStorage {
  private Optional<byte[]> document = Optional.empty();

  @Override
  public Optional<byte[]> load() {
    return document;
  }

  @Override
  public void save(byte[] newDocument) {
    document = Optional.of(newDocument);
  }
}
