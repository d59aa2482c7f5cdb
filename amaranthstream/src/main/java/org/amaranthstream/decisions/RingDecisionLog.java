package org.amaranthstream.decisions;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.atomic.LongAdder;
import org.amaranthstream.ring.Duty;

/**
 * Hands decision records to their sinks on a duty of its own, so that a slow disk never delays a
 * decision.
 *
 * <p>Thread safe. A record that meets a full ring is dropped and counted.
 *
 * <pre>{@code
 * DutyThread writer = DutyThread.start("decision-records", 4096);
 * DecisionLog log = RingDecisionLog.create(writer, ImmutableList.of(history, file));
 * }</pre>
 */
public final class RingDecisionLog implements DecisionLog {
  private final Duty duty;
  private final ImmutableList<DecisionSink> sinks;
  private final LongAdder dropped = new LongAdder();

  private RingDecisionLog(Duty duty, ImmutableList<DecisionSink> sinks) {
    this.duty = duty;
    this.sinks = sinks;
  }

  /** Returns a log that calls {@code sinks} on {@code duty}. */
  public static RingDecisionLog create(Duty duty, ImmutableList<DecisionSink> sinks) {
    return new RingDecisionLog(checkNotNull(duty, "duty"), checkNotNull(sinks, "sinks"));
  }

  @Override
  public void record(DecisionRecord decision) {
    if (!duty.offer(() -> sinks.forEach(sink -> sink.accept(decision)))) {
      dropped.increment();
    }
  }

  /** Returns the number of records that were dropped. */
  public long droppedCount() {
    return dropped.sum();
  }
}
