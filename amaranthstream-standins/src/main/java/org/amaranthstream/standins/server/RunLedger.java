package org.amaranthstream.standins.server;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What ran, how often and under which version: the judge of tests. It outlives a crash of its
 * stand-in and holds the newest runs only. Confined to the server's event loop.
 */
public final class RunLedger {
  private static final int MAX_RUNS = 100_000;

  private final Deque<Run> runs = new ArrayDeque<>();
  private final Map<String, Long> counters = new TreeMap<>();
  private long sequence;

  /** Creates an empty ledger. */
  public RunLedger() {}

  /**
   * Adds a run that starts.
   *
   * @param attempt the id of the attempt
   * @param key what tells requests with the same content
   * @param incarnation the incarnation of the server that runs it
   */
  public Run start(String attempt, String key, String incarnation) {
    sequence++;
    Run run = new Run(sequence, attempt, key, incarnation);
    runs.addLast(run);
    if (runs.size() > MAX_RUNS) {
      runs.removeFirst();
    }
    count("runs", 1);
    return run;
  }

  /** Adds to a counter. */
  public void count(String counter, long amount) {
    counters.merge(counter, amount, Long::sum);
  }

  /** Ends the runs that are under way, as a crash does. */
  public void crashAll() {
    for (Run run : runs) {
      if (run.state() == RunState.RUNNING) {
        run.end(RunState.CRASHED);
      }
    }
    count("crashes", 1);
  }

  /** Returns the ledger with the runs after the given sequence number. */
  Page page(String role, long after) {
    List<Run> newer = runs.stream().filter(run -> run.sequence() > after).toList();
    return new Page(role, counters, newer);
  }

  record Page(String role, Map<String, Long> counters, List<Run> runs) {}
}
