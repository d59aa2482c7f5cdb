package org.amaranthstream.config;

import java.util.Optional;

/** Keeps the latest configuration across restarts, where there is a disk. Not thread safe. */
public interface ConfigStorage {

  /** A disk that keeps nothing. */
  ConfigStorage NONE =
      new ConfigStorage() {
        @Override
        public Optional<byte[]> load() {
          return Optional.empty();
        }

        @Override
        public void save(byte[] document) {}
      };

  /** Returns the kept document, empty if there is none that can be read. */
  Optional<byte[]> load();

  /** Keeps {@code document} in place of the former; a failure is logged and keeps the former. */
  void save(byte[] document);
}
