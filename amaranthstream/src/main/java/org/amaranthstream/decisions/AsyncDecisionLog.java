package org.amaranthstream.decisions;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.atomic.LongAdder;
import org.amaranthstream.ring.Duty;

/**
 * Decision log that passes records to its sinks on another thread, so that a slow disk never delays
 * a decision.
 *
 * <p>Thread safe. A record is dropped and counted if the queue of the duty is full.
 *
 * <pre>{@code
 * DutyThread writer = DutyThread.start("decision-records", 4096);
 * DecisionLog log = AsyncDecisionLog.create(writer, ImmutableList.of(history, file));
 * }</pre>
 */
public final class AsyncDecisionLog implements DecisionLog {
  private final Duty duty;
  private final ImmutableList<DecisionSink> sinks;
  private final LongAdder dropped = new LongAdder();

  private AsyncDecisionLog(Duty duty, ImmutableList<DecisionSink> sinks) {
    this.duty = duty;
    this.sinks = sinks;
  }

  /** Returns a log that calls {@code sinks} on {@code duty}. */
  public static AsyncDecisionLog create(Duty duty, ImmutableList<DecisionSink> sinks) {
    return new AsyncDecisionLog(checkNotNull(duty, "duty"), checkNotNull(sinks, "sinks"));
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
