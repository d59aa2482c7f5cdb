package org.amaranthstream.standins.server;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Ledger of the runs of a stand-in, with their weight versions, and of counters by name. Tests
 * check results against it.
 *
 * <p>The ledger survives a simulated crash of its stand-in. It keeps only the newest runs. Confined
 * to the server's event loop.
 */
public final class RunLedger {
  private static final int MAX_RUNS = 100_000;

  private final Deque<Run> runs = new ArrayDeque<>();
  private final Map<String, Long> counters = new TreeMap<>();
  private long sequence;

  /** Creates an empty ledger. */
  public RunLedger() {}

  /**
   * Adds a run that is starting, and returns it.
   *
   * @param attempt the id of the attempt
   * @param key the key that requests with the same content share
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

  /** Adds {@code amount} to a counter. */
  public void count(String counter, long amount) {
    counters.merge(counter, amount, Long::sum);
  }

  /** Records a crash: ends all active runs as {@link RunState#CRASHED}. */
  public void recordCrash() {
    for (Run run : runs) {
      if (run.state() == RunState.RUNNING) {
        run.end(RunState.CRASHED);
      }
    }
    count("crashes", 1);
  }

  /** Returns all counters, and the runs whose sequence number is above {@code after}. */
  Page page(String role, long after) {
    List<Run> newer = runs.stream().filter(run -> run.sequence() > after).toList();
    return new Page(role, counters, newer);
  }

  record Page(String role, Map<String, Long> counters, List<Run> runs) {}
}
