package org.amaranthstream.config;

/** Kind of the backend servers of a pool. */
public enum PoolKind {
  /** Model engines, which stream tokens and report their weight versions. */
  MODEL_ENGINE,
  /** Plain services, which respond to HTTP calls. */
  PLAIN_SERVICE
}
