package org.amaranthstream.calls;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.servers.TrackedServer;

/**
 * Content of one call, which decides whether servers that crash under it count against it. Must be
 * used on one thread.
 */
interface CallContent {

  /** Returns how long the content must not be sent to any server, empty if it may be sent. */
  Optional<Duration> remainingQuarantine();

  /** Returns true if a server may have crashed because of this content. */
  boolean isSuspect();

  /** Records that the connection to {@code server} was lost while the server ran the call. */
  void onConnectionLost(TrackedServer server);

  /** Records that a server completed its response. */
  void onCompleted();

  /** Returns the digest of the content for the log. */
  String describe();
}
