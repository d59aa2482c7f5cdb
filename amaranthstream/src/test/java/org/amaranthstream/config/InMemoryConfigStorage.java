package org.amaranthstream.config;

import java.util.Optional;

/** A disk in memory that outlives the keepers that use it. */
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
