package org.amaranthstream.duties;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.fleet.FleetLinks;
import org.amaranthstream.fleet.FleetRelays;
import org.amaranthstream.fleet.LeaderLease;
import org.amaranthstream.fleet.PeerQuery;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.result.Result;
import org.amaranthstream.time.TimerService;

/**
 * Makes a holder that cannot reach the platform's API yield its lease if another daemon reaches it.
 *
 * <p>To reach the API means to open a connection: an API that is slow or down for all does not make
 * holders yield. A daemon that has yielded competes again once it reaches the API. Must be used on
 * the thread of its timers.
 */
public final class ApiReach {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration RETRY_DELAY = Duration.ofSeconds(2);
  private static final int PEERS = 3;
  private static final byte[] YES = {1};
  private static final byte[] NO = {0};

  private final PlatformApi api;
  private final FleetRelays relays;
  private final PeerQuery peers;
  private final LeaderLease lease;
  private final TimerService timers;
  private boolean isChecking;

  private ApiReach(
      PlatformApi api,
      FleetRelays relays,
      PeerQuery peers,
      LeaderLease lease,
      TimerService timers) {
    this.api = api;
    this.relays = relays;
    this.peers = peers;
    this.lease = lease;
    this.timers = timers;
  }

  /** Returns the reach of this daemon, which decides whether it may hold {@code lease}. */
  public static ApiReach create(
      PlatformApi api,
      FleetRelays relays,
      PeerQuery peers,
      LeaderLease lease,
      TimerService timers) {
    return new ApiReach(
        checkNotNull(api, "api"),
        checkNotNull(relays, "relays"),
        checkNotNull(peers, "peers"),
        checkNotNull(lease, "lease"),
        checkNotNull(timers, "timers"));
  }

  /** Registers the handler of the queries of other daemons. */
  public void serve(FleetLinks links) {
    links.register(QueryKind.API_REACH, (LocalVm from, byte[] body, Duration timeout) -> handle());
  }

  /** Handles the query whether this daemon reaches the API. */
  public CompletableFuture<Result<byte[]>> handle() {
    return api.isReachable(CONNECT_TIMEOUT)
        .thenApply(reaches -> Result.success(reaches ? YES : NO));
  }

  /** Records the outcome of a call of this daemon. */
  public void onReply(ApiReply reply) {
    if (reply.isUnreached() && !isChecking) {
      isChecking = true;
      api.isReachable(CONNECT_TIMEOUT).thenAccept(this::onChecked);
    }
  }

  private void onChecked(boolean reaches) {
    if (reaches) {
      isChecking = false;
      return;
    }
    List<EntryVmId> asked = farthestFirst().stream().limit(PEERS).toList();
    List<CompletableFuture<Boolean>> answers = asked.stream().map(this::ask).toList();
    CompletableFuture.allOf(answers.toArray(CompletableFuture<?>[]::new))
        .thenRun(() -> decide(answers.stream().anyMatch(CompletableFuture::join)));
  }

  /** Daemons of other zones come first: the zone of this one may be cut off as a whole. */
  private ImmutableList<EntryVmId> farthestFirst() {
    return relays.others().reverse();
  }

  private CompletableFuture<Boolean> ask(EntryVmId peer) {
    return peers
        .query(peer, QueryKind.API_REACH, new byte[0], QUERY_TIMEOUT)
        .thenApply(
            result ->
                result instanceof Result.Success<byte[]> success
                    && success.value().length == YES.length
                    && success.value()[0] == YES[0]);
  }

  private void decide(boolean isReachedByAnother) {
    logger.atInfo().log("event=api_unreached reached_by_another=%s", isReachedByAnother);
    if (!isReachedByAnother) {
      isChecking = false;
      return;
    }
    lease.setEligible(false);
    timers.after(RETRY_DELAY, this::recheck);
  }

  private void recheck() {
    api.isReachable(CONNECT_TIMEOUT).thenAccept(this::onRechecked);
  }

  private void onRechecked(boolean reaches) {
    if (!reaches) {
      timers.after(RETRY_DELAY, this::recheck);
      return;
    }
    isChecking = false;
    lease.setEligible(true);
  }
}
