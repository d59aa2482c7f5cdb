package org.amaranthstream.peer;

import org.amaranthstream.placement.Locality;

/**
 * Bytes that crossed the peer links, by distance. Encryption and the network's own headers are not
 * counted. Thread safe.
 */
public interface LinkBytes {
  /** Returns the bytes sent to entry VMs at {@code locality}. */
  long sent(Locality locality);

  /** Returns the bytes received from entry VMs at {@code locality}. */
  long received(Locality locality);
}
