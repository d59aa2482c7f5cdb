package org.amaranthstream.calls;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.servers.TrackedServer;

/**
 * Content that is owed a response whatever happened to the servers that ran it, such as the calls
 * of a batch job's items. It is never quarantined. Immutable.
 */
enum ExemptContent implements CallContent {
  INSTANCE;

  @Override
  public Optional<Duration> remainingQuarantine() {
    return Optional.empty();
  }

  @Override
  public boolean isSuspect() {
    return false;
  }

  @Override
  public void onConnectionLost(TrackedServer server) {}

  @Override
  public void onCompleted() {}

  @Override
  public String describe() {
    return "exempt";
  }
}
