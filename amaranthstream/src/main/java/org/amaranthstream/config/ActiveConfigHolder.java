package org.amaranthstream.config;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.result.Result;

/**
 * The document in force. It is replaced only by one of a higher generation, whoever offers it.
 *
 * <p>{@link #apply} runs on the keeper's duty alone; the other methods are thread safe.
 */
final class ActiveConfigHolder {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ConfigStorage disk;
  private final List<ConfigListener> listeners = new CopyOnWriteArrayList<>();
  private volatile State state =
      new State(ConfigDocument.empty(), OperatorConfig.empty(), ConfigSource.NONE);
  private volatile long refusedDocuments;
  private volatile long clashes;

  private record State(ConfigDocument document, OperatorConfig config, ConfigSource source) {}

  ActiveConfigHolder(ConfigStorage disk) {
    this.disk = disk;
  }

  void addListener(ConfigListener listener) {
    listeners.add(listener);
  }

  ConfigDocument document() {
    return state.document;
  }

  OperatorConfig config() {
    return state.config;
  }

  ConfigSource source() {
    return state.source;
  }

  ConfigGeneration generation() {
    return state.document.generation();
  }

  long refusedDocuments() {
    return refusedDocuments;
  }

  long clashes() {
    return clashes;
  }

  AppliedConfig applied() {
    State now = state;
    return new AppliedConfig(now.config, now.document.yaml());
  }

  /** Puts {@code document} in force if its generation is higher and it can be read. */
  void apply(ConfigDocument document, ConfigSource source) {
    ConfigGeneration former = generation();
    if (!document.generation().isAfter(former)) {
      compareWithOwn(document, source);
      return;
    }
    Result<OperatorConfig> decoded =
        ConfigCodec.decode("config", document.yaml(), document.generation());
    if (decoded instanceof Result.Failure<OperatorConfig> failure) {
      noteRefused(document.generation().toString(), source, failure.error().message());
      return;
    }
    OperatorConfig config = ((Result.Success<OperatorConfig>) decoded).value();
    state = new State(document, config, source);
    logger.atInfo().log(
        "event=config_applied generation=%s former=%s source=%s",
        document.generation(), former, source);
    if (source != ConfigSource.DISK) {
      disk.save(ConfigDocumentCodec.encode(document));
    }
    listeners.forEach(listener -> listener.configApplied(config));
  }

  /** Counts a document that is not followed because it cannot be read. */
  @SuppressWarnings("NonAtomicVolatileUpdate") // Written on the keeper's duty alone.
  void noteRefused(String generation, ConfigSource source, String message) {
    refusedDocuments++;
    logger.atWarning().log(
        "event=config_refused generation=%s source=%s message=\"%s\"", generation, source, message);
  }

  /** Takes the history of the document in force, which a peer does not tell, or counts a clash. */
  private void compareWithOwn(ConfigDocument document, ConfigSource source) {
    if (!document.generation().equals(generation())) {
      return;
    }
    if (!document.yaml().equals(state.document.yaml())) {
      noteClash(document, source);
    } else if (source != ConfigSource.PEER) {
      state = new State(document, state.config, state.source);
    }
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // Written on the keeper's duty alone.
  private void noteClash(ConfigDocument document, ConfigSource source) {
    clashes++;
    logger.atSevere().log(
        "event=config_clash generation=%s source=%s", document.generation(), source);
  }
}
