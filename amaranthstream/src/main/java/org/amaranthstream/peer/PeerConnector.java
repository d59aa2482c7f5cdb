package org.amaranthstream.peer;

import org.amaranthstream.ids.EntryVmId;

/** Factory of connections to other entry VMs. Thread safe; never blocks. */
@FunctionalInterface
interface PeerConnector {
  /**
   * Starts to connect to {@code expected}.
   *
   * @param expected the entry VM that must authenticate under the address
   * @param listener receives the events of the connection
   * @return the connection, which may still be opening
   */
  Connection connect(String host, int port, EntryVmId expected, ConnectionListener listener);

  /** Connection that is opening, open or closed. */
  interface Connection {
    /** Closes the connection. */
    void close();

    /** Returns false once the connection is closed. */
    boolean isOpen();
  }
}
