package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.calls.LocalStreamOrigins;
import org.amaranthstream.calls.StreamOrigin;
import org.amaranthstream.calls.StreamOrigins;
import org.amaranthstream.fleet.wire.StreamLookup;
import org.amaranthstream.fleet.wire.StreamLookupAnswer;
import org.amaranthstream.fleet.wire.StreamRecord;
import org.amaranthstream.fleet.wire.StreamRecords;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * Registry of streams that the daemons share, so that a stream can be resumed after the daemon that
 * began it is gone.
 *
 * <p>Each daemon sends the streams that begin at it to a few replicas: the watch relays of its
 * availability zone, to which it has links, and one relay of another zone. The streams that begin
 * within a short time share one message, so the cost for each stream does not depend on the size of
 * the fleet. A lookup queries the replicas of the own zone, and only if none has a record of the
 * stream the relays of the other zones. Must be used on the thread of its timers.
 */
public final class FleetStreamOrigins implements StreamOrigins, FleetListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int REPLICAS = 3;

  /** Short against the time after which a caller whose daemon is killed resumes its stream. */
  private static final Duration BATCH_DELAY = Duration.ofMillis(10);

  private static final Duration RECORD_TIMEOUT = Duration.ofSeconds(1);

  private final FleetNode self;
  private final Fleet fleet;
  private final TimerService timers;
  private final PeerQuery peers;
  private final LocalStreamOrigins local = LocalStreamOrigins.create();
  private Optional<ImmutableList<EntryVmId>> candidates = Optional.empty();
  private StreamRecords.Builder unsent = StreamRecords.newBuilder();

  private FleetStreamOrigins(FleetNode self, Fleet fleet, TimerService timers, PeerQuery peers) {
    this.self = self;
    this.fleet = fleet;
    this.timers = timers;
    this.peers = peers;
  }

  /** Returns the registry of the daemon {@code self}. */
  public static FleetStreamOrigins create(
      FleetNode self, Fleet fleet, TimerService timers, PeerQuery peers) {
    FleetStreamOrigins origins =
        new FleetStreamOrigins(
            checkNotNull(self, "self"),
            checkNotNull(fleet, "fleet"),
            checkNotNull(timers, "timers"),
            checkNotNull(peers, "peers"));
    fleet.addListener(origins);
    return origins;
  }

  @Override
  public void onNodesChanged(NodesChange change) {
    candidates = Optional.empty();
  }

  /** Registers the handlers of the calls of other daemons. */
  public void serve(FleetLinks links) {
    links.register(
        QueryKind.STREAM_RECORD, (LocalVm from, byte[] body, Duration timeout) -> store(body));
    links.register(
        QueryKind.STREAM_LOOKUP, (LocalVm from, byte[] body, Duration timeout) -> lookUp(body));
  }

  @Override
  public void record(String request, StreamOrigin origin) {
    local.record(request, origin);
    if (unsent.getStreamCount() == 0) {
      timers.after(BATCH_DELAY, this::sendBatch);
    }
    unsent.addStream(encode(request, origin));
  }

  private static StreamRecord encode(String request, StreamOrigin origin) {
    return StreamRecord.newBuilder()
        .setRequest(request)
        .setService(origin.service().value())
        .setSoftware(origin.software().value())
        .build();
  }

  private static StreamOrigin decode(StreamRecord stream) {
    return new StreamOrigin(
        ServiceId.of(stream.getService()), SoftwareVersion.of(stream.getSoftware()));
  }

  private void sendBatch() {
    byte[] batch = unsent.build().toByteArray();
    unsent = StreamRecords.newBuilder();
    Iterator<EntryVmId> candidates = replicaCandidates().iterator();
    for (int i = 0; i < REPLICAS; i++) {
      sendToNext(candidates, batch);
    }
  }

  /** Sends a batch to the next candidate, or to another one if that cannot be reached. */
  private void sendToNext(Iterator<EntryVmId> candidates, byte[] batch) {
    if (!candidates.hasNext()) {
      return;
    }
    EntryVmId replica = candidates.next();
    peers
        .query(replica, QueryKind.STREAM_RECORD, batch, RECORD_TIMEOUT)
        .thenAccept(
            result -> {
              if (result instanceof Result.Failure<byte[]> failure) {
                logger.atInfo().log(
                    "event=stream_record_not_sent vm=%s code=%s", replica, failure.error().code());
                sendToNext(candidates, batch);
              }
            });
  }

  /** Returns the other daemons that keep records, those that keep the streams of this one first. */
  private ImmutableList<EntryVmId> replicaCandidates() {
    if (candidates.isEmpty()) {
      candidates =
          Optional.of(
              StreamReplicaSelection.order(self.zone(), fleet.nodes()).stream()
                  .filter(vm -> !vm.equals(self.vm()))
                  .collect(ImmutableList.toImmutableList()));
    }
    return candidates.get();
  }

  @Override
  public CompletableFuture<Optional<StreamOrigin>> find(String request, Duration timeout) {
    Optional<StreamOrigin> known = local.find(request);
    if (known.isPresent()) {
      return CompletableFuture.completedFuture(known);
    }
    ImmutableList<EntryVmId> all = replicaCandidates();
    int near = Math.min(REPLICAS, all.size());
    Duration timeoutOfRound = timeout.dividedBy(2);
    return query(all.subList(0, near), request, timeoutOfRound)
        .thenCompose(
            found ->
                found.isPresent()
                    ? CompletableFuture.completedFuture(found)
                    : query(all.subList(near, all.size()), request, timeoutOfRound))
        .whenComplete((found, unused) -> found.ifPresent(origin -> local.record(request, origin)));
  }

  /**
   * Queries several daemons at once; completes with the first record, or once all have responded.
   */
  private CompletableFuture<Optional<StreamOrigin>> query(
      List<EntryVmId> vms, String request, Duration timeout) {
    byte[] lookup = StreamLookup.newBuilder().setRequest(request).build().toByteArray();
    CompletableFuture<Optional<StreamOrigin>> first = new CompletableFuture<>();
    List<CompletableFuture<?>> all = new ArrayList<>();
    for (EntryVmId vm : vms) {
      all.add(
          peers
              .query(vm, QueryKind.STREAM_LOOKUP, lookup, timeout)
              .thenApply(FleetStreamOrigins::decodeAnswer)
              .thenAccept(
                  found -> {
                    if (found.isPresent()) {
                      first.complete(found);
                    }
                  }));
    }
    CompletableFuture.allOf(all.toArray(CompletableFuture<?>[]::new))
        .thenRun(() -> first.complete(Optional.empty()));
    return first;
  }

  private static Optional<StreamOrigin> decodeAnswer(Result<byte[]> result) {
    if (!(result instanceof Result.Success<byte[]> success)) {
      return Optional.empty();
    }
    try {
      StreamLookupAnswer answer = StreamLookupAnswer.parseFrom(success.value());
      return answer.hasFound() ? Optional.of(decode(answer.getFound())) : Optional.empty();
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      logger.atWarning().log("event=stream_lookup_invalid cause=\"%s\"", e);
      return Optional.empty();
    }
  }

  /** Handles the encoded streams that began at another daemon. */
  CompletableFuture<Result<byte[]>> store(byte[] body) {
    try {
      for (StreamRecord stream : StreamRecords.parseFrom(body).getStreamList()) {
        local.record(stream.getRequest(), decode(stream));
      }
      return CompletableFuture.completedFuture(Result.success(new byte[0]));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return malformed(e);
    }
  }

  /** Handles the encoded lookup of another daemon. */
  CompletableFuture<Result<byte[]>> lookUp(byte[] body) {
    try {
      String request = StreamLookup.parseFrom(body).getRequest();
      StreamLookupAnswer.Builder answer = StreamLookupAnswer.newBuilder();
      local.find(request).ifPresent(origin -> answer.setFound(encode(request, origin)));
      return CompletableFuture.completedFuture(Result.success(answer.build().toByteArray()));
    } catch (InvalidProtocolBufferException e) {
      return malformed(e);
    }
  }

  private static CompletableFuture<Result<byte[]>> malformed(Exception cause) {
    return CompletableFuture.completedFuture(
        Result.failure(ResultCode.INVALID_REQUEST, "malformed stream record or lookup: " + cause));
  }
}
