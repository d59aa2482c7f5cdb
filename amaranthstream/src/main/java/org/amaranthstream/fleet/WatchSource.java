package org.amaranthstream.fleet;

/**
 * Source from which a daemon that relays a watch must have the changes.
 *
 * <p>A relay that itself asks a peer accepts changes only from a daemon that watches the store.
 * Otherwise two daemons with different views of the fleet could wait for each other's changes and
 * both follow nobody.
 */
enum WatchSource {
  /** The daemon watches the store itself. */
  DIRECT,

  /** The daemon watches the store itself or through a peer that does. */
  ANY
}
