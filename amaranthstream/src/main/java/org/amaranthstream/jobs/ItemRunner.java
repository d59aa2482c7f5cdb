package org.amaranthstream.jobs;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.prompts.PromptRun;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.Subscription;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Run of one item at one server, which adds the received events to the item's text.
 *
 * <p>Discards the item's text if an event comes from a weight version that the job does not allow.
 * Aborts a stream that makes no progress, so that the item resumes at another server. Must be used
 * on one thread.
 */
final class ItemRunner implements ItemListener, StageRun {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Allows for a server that queues the item or loads weights before its response starts. */
  private static final Duration START_TIMEOUT = Duration.ofMillis(5_000);

  private static final Duration EVENT_TIMEOUT = Duration.ofMillis(2_500);

  /** Delay before an item is run again whose text was discarded for lack of memory. */
  private static final Duration NO_MEMORY_DELAY = Duration.ofSeconds(1);

  /** Observer of the end of runs. */
  interface Observer {
    /** Called when a run ends: its server may have a free slot, and the item may be waiting. */
    void onRunEnded(OwnedJob job);

    /** Called when the text of an item with the expected number of tokens is complete. */
    void onTextComplete(long expectedTokens, long events);

    /** Called when a server rejects a run because it is full or loads weights. */
    void onServerFull(TrackedServer server);
  }

  private final OwnedJob job;
  private final ItemProgress item;
  private final TrackedServer server;
  private final ItemRules rules;
  private final PromptRun promptRun;
  private final ServerDirectory directory;
  private final TimerService timers;
  private final Observer observer;
  private Optional<WeightVersion> version = Optional.empty();
  private ItemTransport.@Nullable Run run;
  private @Nullable Subscription progressTimeout;
  private OptionalLong lastEventNanos = OptionalLong.empty();
  private boolean isOver;
  private long startNanos;

  ItemRunner(
      OwnedJob job,
      ItemProgress item,
      TrackedServer server,
      ItemRules rules,
      PromptRun promptRun,
      ServerDirectory directory,
      TimerService timers,
      Observer observer) {
    this.job = job;
    this.item = item;
    this.server = server;
    this.rules = rules;
    this.promptRun = promptRun;
    this.directory = directory;
    this.timers = timers;
    this.observer = observer;
  }

  void start(ItemTransport transport) {
    startNanos = timers.nowNanos();
    item.onRunStarted(this);
    server.onRequestSent();
    restartTimeout(START_TIMEOUT);
    logStart();
    JobSpec spec = job.spec();
    ItemRequest request =
        new ItemRequest(spec.host(), spec.workspace(), item.spec(), item.text().lastEvent());
    ItemTransport.Run started = transport.start(server, request, this);
    if (isOver) {
      return;
    }
    run = started;
  }

  private void logStart() {
    if (item.text().lastEvent() > 0) {
      logger.atInfo().log(
          "event=item_resumed job=%s item=%s server=%s software=%s last_event=%d",
          job.id(),
          item.spec().id(),
          server.id(),
          server.registration().softwareVersion(),
          item.text().lastEvent());
    } else {
      logger.atFine().log(
          "event=item_started job=%s item=%s server=%s", job.id(), item.spec().id(), server.id());
    }
  }

  private void restartTimeout(Duration timeout) {
    if (progressTimeout != null) {
      progressTimeout.cancel();
    }
    progressTimeout =
        timers.after(timeout, () -> abort("no progress for " + timeout.toMillis() + " ms"));
  }

  @Override
  public void onStarted(Optional<WeightVersion> reported) {
    if (isOver) {
      return;
    }
    restartTimeout(EVENT_TIMEOUT);
    server.onResponse();
    reported.ifPresent(this::onVersion);
  }

  private void onVersion(WeightVersion reported) {
    version = Optional.of(reported);
    server.onVersion(job.spec().model(), reported);
  }

  @Override
  public void onEvent(ItemEvent event) {
    if (isOver) {
      return;
    }
    restartTimeout(EVENT_TIMEOUT);
    server.onProgress();
    event.newVersion().ifPresent(this::onVersion);
    if (version.isEmpty() || !rules.allows(job.spec(), item.text().versions(), version.get())) {
      item.text().clear();
      abort("weight version " + version + " is not allowed by the job or its route");
      return;
    }
    recordEventInterval();
    ItemText.Added added = item.text().add(event, version, server.registration().softwareVersion());
    switch (added) {
      case YES -> item.onProgress();
      case OUT_OF_ORDER ->
          abort("event " + event.id() + " arrived after event " + item.text().lastEvent());
      case TOO_LONG -> {
        item.text().clear();
        abort("the text exceeds " + ItemText.MAX_BYTES + " bytes");
      }
      default -> discard();
    }
  }

  private void recordEventInterval() {
    long now = timers.nowNanos();
    if (lastEventNanos.isPresent()) {
      server.onEventInterval(now - lastEventNanos.getAsLong(), now);
    }
    lastEventNanos = OptionalLong.of(now);
    promptRun.onEvent();
  }

  TrackedServer server() {
    return server;
  }

  /** Returns the time since the run started. */
  Duration age(long nowNanos) {
    return Duration.ofNanos(nowNanos - startNanos);
  }

  /** Returns the time since the last event of the run, or since its start without one. */
  Duration silence(long nowNanos) {
    return Duration.ofNanos(nowNanos - lastEventNanos.orElse(startNanos));
  }

  /** Cancels the run, so that the item resumes at another server. */
  void cancelAndRetry() {
    ItemTransport.Run running = run;
    if (close()) {
      item.retryImmediately();
      if (running != null) {
        running.cancel();
      }
    }
  }

  /**
   * Ends the run and discards the text for lack of memory, for which the server is not at fault.
   */
  void discard() {
    ItemTransport.Run running = run;
    if (close()) {
      item.text().clear();
      item.retryAfter(timers.nowNanos(), NO_MEMORY_DELAY, "no memory for the text");
      if (running != null) {
        running.cancel();
      }
    }
  }

  /** Fails the run and cancels its request; the item is resumed later. */
  private void abort(String reason) {
    ItemTransport.Run running = run;
    onEnded(new ItemRunOutcome.Broken(reason));
    if (running != null) {
      running.cancel();
    }
  }

  @Override
  public void cancel() {
    if (close() && run != null) {
      run.cancel();
    }
  }

  private boolean close() {
    if (isOver) {
      return false;
    }
    isOver = true;
    if (progressTimeout != null) {
      progressTimeout.cancel();
    }
    server.onRequestEnded();
    promptRun.onEnded(lastEventNanos.isPresent());
    return true;
  }

  @Override
  public void onEnded(ItemRunOutcome outcome) {
    if (!close()) {
      return;
    }
    long now = timers.nowNanos();
    if (outcome instanceof ItemRunOutcome.Complete) {
      onComplete(now);
    } else if (outcome instanceof ItemRunOutcome.ServerFull) {
      server.onFull(now);
      observer.onServerFull(server);
      item.retryImmediately();
    } else if (outcome instanceof ItemRunOutcome.ServerReplaced) {
      directory.onIncarnationReplaced(server);
      item.retryImmediately();
    } else if (outcome instanceof ItemRunOutcome.Impossible) {
      logger.atWarning().log("event=item_impossible job=%s item=%s", job.id(), item.spec().id());
      job.giveUp(item);
    } else if (outcome instanceof ItemRunOutcome.Failed failed) {
      onFailed(failed, now);
    } else {
      String reason = ((ItemRunOutcome.Broken) outcome).reason();
      server.onFailed(now, reason);
      item.retryLater(now, reason);
    }
    observer.onRunEnded(job);
  }

  private void onComplete(long now) {
    if (item.text().lastEvent() == 0) {
      item.retryLater(now, "the stream ended without an event");
      return;
    }
    observer.onTextComplete(item.expectedTokens(), item.text().lastEvent());
    job.onTextComplete(item);
  }

  private void onFailed(ItemRunOutcome.Failed failed, long now) {
    int failures = item.countFailure();
    if (failures >= rules.maxFailures()) {
      logger.atWarning().log(
          "event=item_given_up job=%s item=%s failures=%d status=%d",
          job.id(), item.spec().id(), failures, failed.status());
      job.giveUp(item);
    } else {
      item.retryLater(now, "the server responded with HTTP status " + failed.status());
    }
  }
}
