package org.amaranthstream.config;

import java.util.Optional;

/** Local storage that keeps the latest configuration across restarts. Not thread safe. */
public interface ConfigStorage {

  /** A storage that stores nothing, for daemons without a data folder. */
  ConfigStorage NONE =
      new ConfigStorage() {
        @Override
        public Optional<byte[]> load() {
          return Optional.empty();
        }

        @Override
        public void save(byte[] document) {}
      };

  /** Returns the stored document; empty if there is none or it cannot be read. */
  Optional<byte[]> load();

  /** Replaces the stored document. A failure is logged and leaves the previous document stored. */
  void save(byte[] document);
}
