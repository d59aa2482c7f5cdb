package org.amaranthstream.peer;

import org.amaranthstream.ids.EntryVmId;

/** Opens connections to other entry VMs. Thread safe; never blocks. */
@FunctionalInterface
interface PeerConnector {
  /** Starts to connect to {@code expected}; {@code events} hears how it goes. */
  Connection connect(String host, int port, EntryVmId expected, LinkEvents events);

  /** A connection that was started. */
  interface Connection {
    /** Closes the connection. */
    void close();

    /** Returns false once the connection is closed. */
    boolean isOpen();
  }
}
