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
 * One operator's change: read, compare-and-swap, and if the answer is lost, read back.
 *
 * <p>The change carries a nonce. A read that shows the nonce proves that the change took effect; a
 * read that shows a later revision without it proves that it did not, since the compare-and-swap
 * named the revision before. Runs on the keeper's duty; {@link #outcome} may be used anywhere.
 */
final class ConfigProposal {
  private static final int MAX_DOCUMENT_BYTES = 1_000_000;

  private final ConfigManager.Parts parts;
  private final ConfigGeneration expected;
  private final String yaml;
  private final String operator;
  private final Instant at;
  private final String nonce;
  private final CompletableFuture<Result<ConfigGeneration>> outcome = new CompletableFuture<>();
  private Revision base = Revision.of(0);
  private ConfigGeneration proposed = ConfigGeneration.of(0);

  ConfigProposal(
      ConfigManager.Parts parts,
      ConfigGeneration expected,
      String yaml,
      String operator,
      Instant at,
      String nonce) {
    this.parts = parts;
    this.expected = expected;
    this.yaml = yaml;
    this.operator = operator;
    this.at = at;
    this.nonce = nonce;
  }

  CompletableFuture<Result<ConfigGeneration>> outcome() {
    return outcome;
  }

  void refuse(ResultCode code, String message) {
    outcome.complete(Result.failure(code, message));
  }

  void start() {
    Result<OperatorConfig> decoded = ConfigCodec.decode("config", yaml, expected);
    if (decoded instanceof Result.Failure<OperatorConfig> failure) {
      outcome.complete(Result.failure(failure.error()));
    } else if (!parts.fleet().isHeard()) {
      refuse(ResultCode.PEER_UNREACHABLE, "no peer has named its generation yet; try again");
    } else {
      read(this::propose, () -> refuse(ResultCode.NOT_RUN_QUEUE_FULL, "the queue is full"));
    }
  }

  private void read(Consumer<Result<Optional<KvEntry>>> action, Runnable ifFull) {
    parts.replies().on(parts.store().get(ConfigManager.KEY), action, ifFull);
  }

  private void propose(Result<Optional<KvEntry>> reply) {
    if (reply instanceof Result.Failure<Optional<KvEntry>> failure) {
      refuse(
          ResultCode.PLATFORM_UNAVAILABLE,
          "the configuration was not changed: " + failure.error().message());
      return;
    }
    Optional<KvEntry> entry = ((Result.Success<Optional<KvEntry>>) reply).value();
    parts.watcher().observe(entry);
    ConfigGeneration highest = highestGeneration();
    if (!expected.equals(highest)) {
      refuseConflict();
      return;
    }
    base = entry.map(KvEntry::revision).orElse(Revision.of(0));
    proposed = ConfigGeneration.of(highest.value() + 1);
    write(document());
  }

  private ConfigGeneration highestGeneration() {
    ConfigGeneration own = Comparators.max(parts.ledger().generation(), parts.fleet().highest());
    return Comparators.max(own, parts.watcher().generation());
  }

  private ConfigDocument document() {
    Result<OperatorConfig> decoded = ConfigCodec.decode("config", yaml, proposed);
    OperatorConfig after = ((Result.Success<OperatorConfig>) decoded).value();
    String summary = ConfigSummary.of(parts.ledger().config(), after);
    ConfigChange change = new ConfigChange(proposed, operator, at, summary, nonce);
    return parts.ledger().document().changed(change, yaml);
  }

  private void write(ConfigDocument document) {
    byte[] bytes = ConfigDocumentCodec.encode(document);
    if (bytes.length > MAX_DOCUMENT_BYTES) {
      refuse(
          ResultCode.CONFIG_INVALID,
          "found " + bytes.length + " bytes with the history, expected " + MAX_DOCUMENT_BYTES);
      return;
    }
    CompletableFuture<WriteReply> reply =
        parts.store().compareAndSwap(ConfigManager.KEY, base, bytes, Optional.empty());
    parts.replies().on(reply, value -> endWrite(value, document), this::refuseUnknown);
  }

  private void endWrite(WriteReply reply, ConfigDocument document) {
    if (reply instanceof WriteReply.Written written) {
      parts.watcher().noteWritten(written.revision(), document.generation());
      accept(document);
    } else if (reply instanceof WriteReply.Conflict) {
      read(this::nameWinner, this::refuseConflict);
    } else if (reply instanceof WriteReply.Unknown) {
      settleLater(ConfigTiming.SETTLE_READS);
    } else if (reply instanceof WriteReply.Unavailable unavailable) {
      refuse(
          ResultCode.PLATFORM_UNAVAILABLE,
          "the configuration was not changed: " + unavailable.reason());
    }
  }

  private void accept(ConfigDocument document) {
    parts.ledger().apply(document, ConfigSource.PUT);
    if (parts.ledger().document().contains(nonce)) {
      outcome.complete(Result.success(proposed));
    } else if (parts.ledger().generation().isAfter(proposed)) {
      refuseUnknown(); // A peer named a higher generation: on top of this one, or instead of it.
    } else {
      refuseConflict();
    }
  }

  private void nameWinner(Result<Optional<KvEntry>> reply) {
    if (reply instanceof Result.Success<Optional<KvEntry>> success) {
      parts.watcher().observe(success.value());
    }
    refuseConflict();
  }

  private void refuseConflict() {
    ConfigGeneration winner = highestGeneration();
    refuse(
        ResultCode.CONFIG_CONFLICT,
        String.format(
            "the configuration is at generation %s (%s), the change names generation %s",
            winner, lastOperator(), expected));
  }

  private String lastOperator() {
    return parts.ledger().document().history().stream()
        .findFirst()
        .filter(change -> change.generation().equals(parts.ledger().generation()))
        .map(change -> "last change by " + change.operator())
        .orElse("no change is known");
  }

  private void settleLater(int readsLeft) {
    if (readsLeft == 0) {
      refuseUnknown();
      return;
    }
    Runnable task = () -> read(reply -> settle(reply, readsLeft - 1), this::refuseUnknown);
    Runnable onTimer =
        () -> {
          if (!parts.duty().offer(task)) {
            refuseUnknown();
          }
        };
    parts.timers().after(ConfigTiming.SETTLE_INTERVAL, onTimer);
  }

  private void settle(Result<Optional<KvEntry>> reply, int readsLeft) {
    Optional<KvEntry> entry =
        reply instanceof Result.Success<Optional<KvEntry>> success
            ? success.value()
            : Optional.empty();
    boolean isLater = entry.isPresent() && entry.get().revision().isAfter(base);
    if (!isLater) {
      settleLater(readsLeft);
      return;
    }
    parts.watcher().observe(entry);
    Result<ConfigDocument> decoded = ConfigDocumentCodec.decode(entry.get().value());
    if (!(decoded instanceof Result.Success<ConfigDocument> success)) {
      refuseUnknown();
    } else if (success.value().contains(nonce)) {
      accept(success.value());
    } else if (success.value().remembers(proposed)) {
      refuseConflict();
    } else {
      refuseUnknown();
    }
  }

  private void refuseUnknown() {
    refuse(
        ResultCode.CONFIG_OUTCOME_UNKNOWN,
        "the change to generation "
            + proposed
            + " may have taken effect; read the configuration before sending it again");
  }
}
