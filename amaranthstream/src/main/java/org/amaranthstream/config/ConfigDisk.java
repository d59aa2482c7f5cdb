package org.amaranthstream.config;

import java.util.Optional;

/** Keeps the latest configuration across restarts, where there is a disk. Not thread safe. */
public interface ConfigDisk {

  /** A disk that keeps nothing. */
  ConfigDisk NONE =
      new ConfigDisk() {
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
