package org.amaranthstream.calls;

import com.google.common.collect.ImmutableList;
import com.google.common.math.IntMath;
import java.math.RoundingMode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.amaranthstream.servers.TrackedServer;

/**
 * Attempts of one call: those that are running, and the counts that limit further ones.
 *
 * <p>An attempt through a peer counts as often as the peer may send the request. Attempts that
 * servers refuse or never receive do not count against the policy, but have a limit of their own.
 * Not thread safe.
 */
final class CallAttempts {
  private static final int MAX_REFUSALS = 6;

  private final CallPolicy policy;
  private final Set<TrackedServer> tried = new HashSet<>();

  /** Servers that run the call, may have run it, or may receive it from a peer. */
  private final Set<TrackedServer> reserved = new HashSet<>();

  private final List<CallAttempt> running = new ArrayList<>();
  private int counted;
  private int refusals;
  private int relays;
  private int notConnected;
  private boolean mayHaveRun;

  CallAttempts(CallPolicy policy) {
    this.policy = policy;
  }

  /** Returns true if this daemon itself may send the call to {@code server}. */
  boolean mayTry(TrackedServer server) {
    return !tried.contains(server) && !reserved.contains(server);
  }

  /** Returns those of {@code servers} that cannot have received the call, and will not. */
  ImmutableList<TrackedServer> unused(List<TrackedServer> servers) {
    return servers.stream()
        .filter(server -> !reserved.contains(server) || isConnectingTo(server))
        .collect(ImmutableList.toImmutableList());
  }

  private boolean isConnectingTo(TrackedServer server) {
    return running.stream().anyMatch(attempt -> attempt.isOn(server) && attempt.isConnecting());
  }

  /** Records that {@code server} is not tried again. */
  void addTried(TrackedServer server) {
    tried.add(server);
  }

  /** Adds an attempt that is about to start. */
  void add(CallAttempt attempt) {
    counted += attempt.maxServers();
    reserved.addAll(attempt.reachableServers());
    running.add(attempt);
  }

  /** Removes an attempt that has ended. */
  void remove(CallAttempt attempt) {
    running.remove(attempt);
  }

  /** Removes an attempt that has failed, and counts its failure. */
  void onFailed(CallAttempt attempt, AttemptFailure failure) {
    running.remove(attempt);
    if (failure.mayHaveRun()) {
      mayHaveRun = true;
      return;
    }
    onNotRun(attempt);
    refusals++;
    if (failure instanceof AttemptFailure.NotSent) {
      notConnected++;
    }
  }

  private void onNotRun(CallAttempt attempt) {
    counted -= attempt.maxServers();
    attempt.reachableServers().forEach(reserved::remove);
  }

  /**
   * Returns the number of servers among which the next peer chooses, of {@code unused} ones: the
   * same share as of the attempts that are left, so that further attempts find a server too.
   */
  int choicesOfNextRelay(int unused) {
    int left = policy.maxAttempts() - counted;
    return IntMath.divide(unused * serversOfNextRelay(), left, RoundingMode.CEILING);
  }

  /**
   * Returns the number of servers to which the next peer may send the request. One is kept for an
   * attempt after it or beside it, if the request may run more than once.
   */
  int serversOfNextRelay() {
    int left = policy.maxAttempts() - counted;
    return policy.isRepeatable() && left > 1 ? left - 1 : left;
  }

  /** Returns the number of attempts that count against the policy. */
  int counted() {
    return counted;
  }

  boolean isEmpty() {
    return running.isEmpty();
  }

  boolean isRunningOn(TrackedServer server) {
    return running.stream().anyMatch(attempt -> attempt.isOn(server));
  }

  /** Returns true if a server may have run the request. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Records that a server has run the request. */
  void markRun() {
    mayHaveRun = true;
  }

  /** Returns true if the policy allows another attempt beside the running ones. */
  boolean mayAdd() {
    return mayAddTo(counted);
  }

  /** Returns true if the policy allows another attempt in place of those that wait to connect. */
  boolean mayReplaceConnecting() {
    return mayAddTo(counted - connectingCount());
  }

  private boolean mayAddTo(int attempts) {
    boolean isWithinLimits = attempts < policy.maxAttempts() && refusals < MAX_REFUSALS;
    return isWithinLimits && (policy.isRepeatable() || !mayHaveRun);
  }

  /** Returns the number of running attempts that wait for a connection. */
  int connectingCount() {
    return (int) running.stream().filter(CallAttempt::isConnecting).count();
  }

  /** Returns true if no running attempt has been sent. */
  boolean areAllConnecting() {
    return connectingCount() == running.size();
  }

  /** Returns the number of attempts that ended because no connection could be opened. */
  int notConnected() {
    return notConnected;
  }

  /** Returns the number of attempts through peers. */
  int relays() {
    return relays;
  }

  void onRelayed() {
    relays++;
  }

  /** Cancels the attempts that wait for a connection, which have not run. */
  void cancelConnecting() {
    for (CallAttempt attempt : List.copyOf(running)) {
      if (attempt.isConnecting()) {
        running.remove(attempt);
        onNotRun(attempt);
        notConnected++;
        attempt.cancel();
      }
    }
  }

  void cancelAllExcept(CallAttempt kept) {
    for (CallAttempt attempt : List.copyOf(running)) {
      if (attempt != kept) {
        running.remove(attempt);
        attempt.cancel();
      }
    }
  }

  void cancelAll() {
    List<CallAttempt> all = List.copyOf(running);
    running.clear();
    all.forEach(CallAttempt::cancel);
  }
}
