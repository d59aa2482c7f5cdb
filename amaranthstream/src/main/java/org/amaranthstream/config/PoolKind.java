package org.amaranthstream.config;

/** What the backend servers of a pool are. */
public enum PoolKind {
  /** Model engines, which stream tokens and name their weight versions. */
  MODEL_ENGINE,
  /** Plain services, which answer an HTTP call. */
  PLAIN_SERVICE
}
