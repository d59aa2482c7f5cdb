package org.amaranthstream.config;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.result.Result;

/**
 * Holder of the active configuration document. Only a document of a higher generation replaces it,
 * whatever its source.
 *
 * <p>{@link #apply} and {@link #recordRejected} run only on the configuration manager's duty; the
 * other methods are thread safe.
 */
final class ActiveConfigHolder {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ConfigStorage storage;
  private final List<ConfigListener> listeners = new CopyOnWriteArrayList<>();
  private volatile State state =
      new State(ConfigDocument.empty(), OperatorConfig.empty(), ConfigSource.NONE);
  private volatile long refusedDocuments;
  private volatile long clashes;

  private record State(ConfigDocument document, OperatorConfig config, ConfigSource source) {}

  ActiveConfigHolder(ConfigStorage storage) {
    this.storage = storage;
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
    State current = state;
    return new AppliedConfig(current.config, current.document.yaml());
  }

  /** Makes {@code document} active if its generation is higher and its YAML is valid. */
  void apply(ConfigDocument document, ConfigSource source) {
    ConfigGeneration previous = generation();
    if (!document.generation().isAfter(previous)) {
      compareWithActive(document, source);
      return;
    }
    Result<OperatorConfig> decoded =
        ConfigCodec.decode("config", document.yaml(), document.generation());
    if (decoded instanceof Result.Failure<OperatorConfig> failure) {
      recordRejected(document.generation().toString(), source, failure.error().message());
      return;
    }
    OperatorConfig config = ((Result.Success<OperatorConfig>) decoded).value();
    state = new State(document, config, source);
    logger.atInfo().log(
        "event=config_applied generation=%s former=%s source=%s",
        document.generation(), previous, source);
    if (source != ConfigSource.DISK) {
      storage.save(ConfigDocumentCodec.encode(document));
    }
    listeners.forEach(listener -> listener.configApplied(config));
  }

  /** Counts and logs a document that is rejected because it is invalid. */
  @SuppressWarnings("NonAtomicVolatileUpdate") // Written only on the configuration manager's duty.
  void recordRejected(String generation, ConfigSource source, String message) {
    refusedDocuments++;
    logger.atWarning().log(
        "event=config_refused generation=%s source=%s message=\"%s\"", generation, source, message);
  }

  /**
   * Compares a document of the active generation with the active one. Different contents count as a
   * clash. Equal contents from a source other than a peer replace the history, because documents
   * from peers come without one.
   */
  private void compareWithActive(ConfigDocument document, ConfigSource source) {
    if (!document.generation().equals(generation())) {
      return;
    }
    if (!document.yaml().equals(state.document.yaml())) {
      recordClash(document, source);
    } else if (source != ConfigSource.PEER) {
      state = new State(document, state.config, state.source);
    }
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // Written only on the configuration manager's duty.
  private void recordClash(ConfigDocument document, ConfigSource source) {
    clashes++;
    logger.atSevere().log(
        "event=config_clash generation=%s source=%s", document.generation(), source);
  }
}
