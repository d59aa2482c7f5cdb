package org.amaranthstream.config;

import com.google.common.collect.Comparators;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.WriteReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * One change by an operator: a read, a compare-and-swap and, if the response to the write is lost,
 * reads that determine its outcome.
 *
 * <p>The change carries a nonce. A document that contains the nonce proves that the change took
 * effect. A newer revision without the nonce proves that it did not, because the compare-and-swap
 * expects the revision before it. Runs on the configuration manager's duty; {@link #outcome} may be
 * called on any thread.
 */
final class ConfigProposal {
  private static final int MAX_DOCUMENT_BYTES = 1_000_000;

  private final ConfigManager.Components components;
  private final ConfigGeneration expected;
  private final String yaml;
  private final String operator;
  private final Instant at;
  private final String nonce;
  private final CompletableFuture<Result<ConfigGeneration>> outcome = new CompletableFuture<>();
  private Revision baseRevision = Revision.of(0);
  private ConfigGeneration proposed = ConfigGeneration.of(0);

  ConfigProposal(
      ConfigManager.Components components,
      ConfigGeneration expected,
      String yaml,
      String operator,
      Instant at,
      String nonce) {
    this.components = components;
    this.expected = expected;
    this.yaml = yaml;
    this.operator = operator;
    this.at = at;
    this.nonce = nonce;
  }

  /** Returns the future of the new generation or of the failure. */
  CompletableFuture<Result<ConfigGeneration>> outcome() {
    return outcome;
  }

  /** Completes the outcome with a failure unless it is complete. */
  void fail(ResultCode code, String message) {
    outcome.complete(Result.failure(code, message));
  }

  /** Validates the change and starts to write it. */
  void start() {
    Result<OperatorConfig> decoded = ConfigCodec.decode("config", yaml, expected);
    if (decoded instanceof Result.Failure<OperatorConfig> failure) {
      outcome.complete(Result.failure(failure.error()));
    } else if (!components.peerGenerations().isWaitComplete()) {
      fail(
          ResultCode.PEER_UNREACHABLE,
          "no peer has reported its configuration generation yet; retry the change");
    } else {
      read(
          this::propose,
          () -> fail(ResultCode.NOT_RUN_QUEUE_FULL, "the configuration queue is full"));
    }
  }

  private void read(Consumer<Result<Optional<KvEntry>>> action, Runnable ifRejected) {
    components
        .callbacks()
        .thenAccept(components.store().get(ConfigManager.KEY), action, ifRejected);
  }

  private void propose(Result<Optional<KvEntry>> response) {
    if (response instanceof Result.Failure<Optional<KvEntry>> failure) {
      fail(
          ResultCode.PLATFORM_UNAVAILABLE,
          "the configuration was not changed: " + failure.error().message());
      return;
    }
    Optional<KvEntry> entry = ((Result.Success<Optional<KvEntry>>) response).value();
    components.watcher().observe(entry);
    ConfigGeneration highest = highestGeneration();
    if (!expected.equals(highest)) {
      failConflict();
      return;
    }
    baseRevision = entry.map(KvEntry::revision).orElse(Revision.of(0));
    proposed = ConfigGeneration.of(highest.value() + 1);
    write(newDocument());
  }

  private ConfigGeneration highestGeneration() {
    ConfigGeneration local =
        Comparators.max(
            components.activeConfig().generation(), components.peerGenerations().highest());
    return Comparators.max(local, components.watcher().generation());
  }

  private ConfigDocument newDocument() {
    Result<OperatorConfig> decoded = ConfigCodec.decode("config", yaml, proposed);
    OperatorConfig proposedConfig = ((Result.Success<OperatorConfig>) decoded).value();
    String summary = ConfigSummary.of(components.activeConfig().config(), proposedConfig);
    ConfigChange change = new ConfigChange(proposed, operator, at, summary, nonce);
    return components.activeConfig().document().withChange(change, yaml);
  }

  private void write(ConfigDocument document) {
    byte[] bytes = ConfigDocumentCodec.encode(document);
    if (bytes.length > MAX_DOCUMENT_BYTES) {
      fail(
          ResultCode.CONFIG_INVALID,
          "found "
              + bytes.length
              + " bytes with the history, expected at most "
              + MAX_DOCUMENT_BYTES);
      return;
    }
    CompletableFuture<WriteReply> response =
        components.store().compareAndSwap(ConfigManager.KEY, baseRevision, bytes, Optional.empty());
    components
        .callbacks()
        .thenAccept(
            response, value -> handleWriteResponse(value, document), this::failOutcomeUnknown);
  }

  private void handleWriteResponse(WriteReply response, ConfigDocument document) {
    if (response instanceof WriteReply.Written written) {
      components.watcher().recordWritten(written.revision(), document.generation());
      accept(document);
    } else if (response instanceof WriteReply.Conflict) {
      read(this::failConflictAfterRead, this::failConflict);
    } else if (response instanceof WriteReply.Unknown) {
      scheduleOutcomeCheck(ConfigTiming.MAX_OUTCOME_CHECKS);
    } else if (response instanceof WriteReply.Unavailable unavailable) {
      fail(
          ResultCode.PLATFORM_UNAVAILABLE,
          "the configuration was not changed: " + unavailable.reason());
    }
  }

  private void accept(ConfigDocument document) {
    components.activeConfig().apply(document, ConfigSource.PUT);
    if (components.activeConfig().document().contains(nonce)) {
      outcome.complete(Result.success(proposed));
    } else if (components.activeConfig().generation().isAfter(proposed)) {
      // A peer has sent a higher generation, which may include this change or replace it.
      failOutcomeUnknown();
    } else {
      failConflict();
    }
  }

  private void failConflictAfterRead(Result<Optional<KvEntry>> response) {
    if (response instanceof Result.Success<Optional<KvEntry>> success) {
      components.watcher().observe(success.value());
    }
    failConflict();
  }

  private void failConflict() {
    ConfigGeneration highest = highestGeneration();
    fail(
        ResultCode.CONFIG_CONFLICT,
        String.format(
            "the configuration is at generation %s (%s), but the change expects generation %s",
            highest, describeLastChange(), expected));
  }

  private String describeLastChange() {
    return components.activeConfig().document().history().stream()
        .findFirst()
        .filter(change -> change.generation().equals(components.activeConfig().generation()))
        .map(change -> "last change by " + change.operator())
        .orElse("last change by an unknown operator");
  }

  private void scheduleOutcomeCheck(int checksLeft) {
    if (checksLeft == 0) {
      failOutcomeUnknown();
      return;
    }
    Runnable task =
        () -> read(response -> checkOutcome(response, checksLeft - 1), this::failOutcomeUnknown);
    Runnable onTimer =
        () -> {
          if (!components.duty().offer(task)) {
            failOutcomeUnknown();
          }
        };
    components.timers().after(ConfigTiming.OUTCOME_CHECK_INTERVAL, onTimer);
  }

  private void checkOutcome(Result<Optional<KvEntry>> response, int checksLeft) {
    Optional<KvEntry> entry =
        response instanceof Result.Success<Optional<KvEntry>> success
            ? success.value()
            : Optional.empty();
    boolean isNewer = entry.isPresent() && entry.get().revision().isAfter(baseRevision);
    if (!isNewer) {
      scheduleOutcomeCheck(checksLeft);
      return;
    }
    components.watcher().observe(entry);
    Result<ConfigDocument> decoded = ConfigDocumentCodec.decode(entry.get().value());
    if (!(decoded instanceof Result.Success<ConfigDocument> success)) {
      failOutcomeUnknown();
    } else if (success.value().contains(nonce)) {
      accept(success.value());
    } else if (success.value().historyCovers(proposed)) {
      failConflict();
    } else {
      failOutcomeUnknown();
    }
  }

  private void failOutcomeUnknown() {
    fail(
        ResultCode.CONFIG_OUTCOME_UNKNOWN,
        "the change to generation "
            + proposed
            + " may have taken effect; read the configuration before retrying the change");
  }
}
