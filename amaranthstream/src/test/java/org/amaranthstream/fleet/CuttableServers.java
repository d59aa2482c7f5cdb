package org.amaranthstream.fleet;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.calls.AttemptFailure;
import org.amaranthstream.calls.AttemptListener;
import org.amaranthstream.calls.CallTransport;
import org.amaranthstream.calls.OutboundCall;
import org.amaranthstream.calls.ResponseHead;
import org.amaranthstream.http.HttpStatus;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.servers.ServerProbe;
import org.amaranthstream.time.VirtualTimerService;

/** Simulated servers in virtual time, from which single daemons can be cut off. */
final class CuttableServers {
  private static final Duration RESPONSE_TIME = Duration.ofMillis(36);
  static final Duration PART_INTERVAL = Duration.ofMillis(10);
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);

  private final VirtualTimerService timers;
  private final Map<String, Cut> cuts = new HashMap<>();
  private final List<String> runs = new ArrayList<>();
  private final List<OutboundCall> calls = new ArrayList<>();
  private final List<String> placedRuns = new ArrayList<>();
  private final List<String> cancelled = new ArrayList<>();
  private boolean isSlow;
  private int streamedParts;
  private int partsBeforeLoss = Integer.MAX_VALUE;

  /** State of the connections between a daemon and all servers. */
  enum Cut {
    NONE,
    /** New connections hang until their timeout. */
    HANGING,
    /** New connections are refused. */
    REFUSED,
    /** Open connections accept requests, and nothing comes back. */
    SILENT
  }

  CuttableServers(VirtualTimerService timers) {
    this.timers = timers;
  }

  void cut(String vm, Cut cut) {
    cuts.put(vm, cut);
  }

  /** Makes the servers take seconds for each request. */
  void slowDown() {
    isSlow = true;
  }

  /** Makes the servers respond with {@code parts} parts, one after another. */
  void streamParts(int parts) {
    streamedParts = parts;
  }

  /** Makes the servers lose the connection of each response after {@code parts} parts. */
  void loseConnectionAfter(int parts) {
    partsBeforeLoss = parts;
  }

  /** Returns the ids of the requests that ran, once for each run. */
  List<String> runs() {
    return runs;
  }

  /** Returns the calls that ran, once for each run. */
  List<OutboundCall> calls() {
    return calls;
  }

  /** Returns the request and the server of each run. */
  List<String> placedRuns() {
    return placedRuns;
  }

  /** Returns the ids of the requests whose run was cancelled. */
  List<String> cancelled() {
    return cancelled;
  }

  private Cut cutOf(String vm) {
    return cuts.getOrDefault(vm, Cut.NONE);
  }

  CallTransport transportOf(String vm) {
    return (server, call, timeLeft, listener) -> new Run(vm, server.id(), call, listener);
  }

  ServerProbe probeOf(String vm) {
    return (server, timeout) -> probe(vm, timeout);
  }

  private CompletableFuture<Boolean> probe(String vm, Duration timeout) {
    CompletableFuture<Boolean> responds = new CompletableFuture<>();
    boolean isReached = cutOf(vm) == Cut.NONE;
    timers.after(isReached ? Duration.ofMillis(5) : timeout, () -> responds.complete(isReached));
    return responds;
  }

  private final class Run implements CallTransport.Attempt {
    private final String vm;
    private final BackendServerId server;
    private final OutboundCall call;
    private final AttemptListener listener;
    private boolean isSent;
    private boolean isOver;
    private boolean isPaused;
    private int sentParts;

    private Run(String vm, BackendServerId server, OutboundCall call, AttemptListener listener) {
      this.vm = vm;
      this.server = server;
      this.call = call;
      this.listener = listener;
      timers.after(Duration.ofMillis(1), this::connect);
    }

    private void connect() {
      if (isOver) {
        return;
      }
      Cut cut = cutOf(vm);
      if (cut == Cut.NONE) {
        run();
      } else if (cut == Cut.HANGING) {
        timers.after(CONNECT_TIMEOUT, this::failToConnect);
      } else if (cut == Cut.REFUSED) {
        failToConnect();
      } else {
        isSent = true;
      }
    }

    private void failToConnect() {
      if (!isOver) {
        isOver = true;
        listener.onFailed(new AttemptFailure.NotSent("no connection"));
      }
    }

    private void run() {
      isSent = true;
      runs.add(call.id());
      calls.add(call);
      placedRuns.add(call.id() + " at " + server);
      timers.after(isSlow ? Duration.ofSeconds(5) : RESPONSE_TIME, this::respond);
    }

    private void respond() {
      if (isOver) {
        return;
      }
      isOver = streamedParts == 0;
      listener.onHead(
          new ResponseHead(
              HttpStatus.of(200),
              MultiMap.caseInsensitiveMultiMap().add("name", "value"),
              OptionalLong.empty(),
              Optional.of("seal-" + call.id())));
      if (streamedParts > 0) {
        stream();
        return;
      }
      listener.onData(Buffer.buffer("response to " + call.id()));
      listener.onEnd();
    }

    private void stream() {
      if (isOver) {
        return;
      }
      if (sentParts == partsBeforeLoss) {
        isOver = true;
        listener.onFailed(new AttemptFailure.ConnectionLost("connection closed"));
        return;
      }
      if (!isPaused) {
        sentParts++;
        listener.onData(Buffer.buffer("p"));
      }
      if (sentParts == streamedParts) {
        isOver = true;
        listener.onEnd();
      } else {
        timers.after(PART_INTERVAL, this::stream);
      }
    }

    @Override
    public void cancel() {
      if (!isOver && isSent) {
        cancelled.add(call.id());
      }
      isOver = true;
    }

    @Override
    public boolean isSent() {
      return isSent;
    }

    @Override
    public void setPaused(boolean shouldPause) {
      isPaused = shouldPause;
    }
  }
}
