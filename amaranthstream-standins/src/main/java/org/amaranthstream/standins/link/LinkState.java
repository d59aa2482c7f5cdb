package org.amaranthstream.standins.link;

/** What a link does with bytes and with new connections. */
public enum LinkState {
  /** It carries them. */
  UP,
  /** It drops them; connections stay open and new ones hang. */
  SILENT,
  /** It closes connections and refuses new ones. */
  CLOSED
}
