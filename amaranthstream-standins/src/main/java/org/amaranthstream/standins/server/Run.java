package org.amaranthstream.standins.server;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.List;

/** One run of one request, as the ledger keeps it. Confined to the server's event loop. */
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

  /** Adds tokens that were produced. */
  public void add(long offset, long tokens, long version) {
    int last = segments.size() - 1;
    if (last >= 0 && segments.get(last).version() == version) {
      RunSegment before = segments.get(last);
      segments.set(last, new RunSegment(before.offset(), before.tokens() + tokens, version));
    } else {
      segments.add(new RunSegment(offset, tokens, version));
    }
  }

  /** Ends the run. */
  public void end(RunState end) {
    state = end;
  }

  /** Returns how far it has come. */
  @JsonProperty
  public RunState state() {
    return state;
  }

  /** Returns its position in the ledger. */
  @JsonProperty
  public long sequence() {
    return sequence;
  }

  /** Returns the id of the attempt. */
  @JsonProperty
  public String attempt() {
    return attempt;
  }

  /** Returns what tells requests with the same content. */
  @JsonProperty
  public String key() {
    return key;
  }

  /** Returns the incarnation of the server that ran it. */
  @JsonProperty
  public String incarnation() {
    return incarnation;
  }

  /** Returns what it produced. */
  @JsonProperty
  public List<RunSegment> segments() {
    return List.copyOf(segments);
  }
}
