package org.amaranthstream.peer;

import org.amaranthstream.placement.Locality;

/**
 * Number of bytes transferred over the peer links, by locality of the peer. The overhead of
 * encryption and network headers is not counted.
 *
 * <p>Thread safe.
 */
public interface LinkBytes {
  /** Returns the bytes sent to entry VMs at {@code locality}. */
  long sent(Locality locality);

  /** Returns the bytes received from entry VMs at {@code locality}. */
  long received(Locality locality);
}
