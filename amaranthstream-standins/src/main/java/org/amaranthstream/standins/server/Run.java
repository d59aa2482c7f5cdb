package org.amaranthstream.standins.server;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.List;

/** Ledger record of one run of a request. Confined to the server's event loop. */
public final class Run {
  private final long sequence;
  private final String attempt;
  private final String key;
  private final String incarnation;
  private final List<RunSegment> segments = new ArrayList<>();
  private RunState state = RunState.RUNNING;

  Run(long sequence, String attempt, String key, String incarnation) {
    this.sequence = sequence;
    this.attempt = attempt;
    this.key = key;
    this.incarnation = incarnation;
  }

  /**
   * Records generated tokens. Tokens of the same version as the last segment extend it.
   *
   * @param offset number of tokens of the output before these
   * @param tokens number of these tokens
   * @param version the weight version that generated them
   */
  public void add(long offset, long tokens, long version) {
    int last = segments.size() - 1;
    if (last >= 0 && segments.get(last).version() == version) {
      RunSegment previous = segments.get(last);
      segments.set(last, new RunSegment(previous.offset(), previous.tokens() + tokens, version));
    } else {
      segments.add(new RunSegment(offset, tokens, version));
    }
  }

  /** Ends the run in the given state. */
  public void end(RunState finalState) {
    state = finalState;
  }

  /** Returns the current state. */
  @JsonProperty
  public RunState state() {
    return state;
  }

  /** Returns the sequence number of this run in the ledger. */
  @JsonProperty
  public long sequence() {
    return sequence;
  }

  /** Returns the id of the attempt. */
  @JsonProperty
  public String attempt() {
    return attempt;
  }

  /** Returns the key that requests with the same content share. */
  @JsonProperty
  public String key() {
    return key;
  }

  /** Returns the incarnation of the server that ran it. */
  @JsonProperty
  public String incarnation() {
    return incarnation;
  }

  /** Returns the generated tokens, grouped by weight version. */
  @JsonProperty
  public List<RunSegment> segments() {
    return List.copyOf(segments);
  }
}
