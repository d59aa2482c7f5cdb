package org.amaranthstream.ring;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.util.concurrent.atomic.LongAdder;

/**
 * A duty that runs on a thread of its own, behind a ring of a fixed size.
 *
 * <p>Thread safe. An exception of a task is logged and does not stop the duty.
 */
public final class DutyThread implements Duty, AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String name;
  private final Disruptor<Slot> disruptor;
  private final RingBuffer<Slot> ring;
  private final LongAdder refused = new LongAdder();

  private DutyThread(String name, int ringSize) {
    this.name = name;
    this.disruptor =
        new Disruptor<>(
            Slot::new,
            ringSize,
            new ThreadFactoryBuilder().setNameFormat(name).setDaemon(true).build(),
            ProducerType.MULTI,
            new BlockingWaitStrategy());
    this.disruptor.handleEventsWith((EventHandler<Slot>) this::handle);
    this.ring = disruptor.start();
  }

  /**
   * Starts a duty.
   *
   * @param name the name of its thread
   * @param ringSize the number of tasks that may wait, a power of two
   */
  public static DutyThread start(String name, int ringSize) {
    checkArgument(Integer.bitCount(ringSize) == 1, "ring size is not a power of 2: %s", ringSize);
    return new DutyThread(name, ringSize);
  }

  @Override
  public boolean offer(Runnable task) {
    boolean taken = ring.tryPublishEvent((slot, sequence, t) -> slot.task = t, task);
    if (!taken) {
      refused.increment();
    }
    return taken;
  }

  /** Returns the number of tasks that wait. */
  public long depth() {
    return ring.getBufferSize() - ring.remainingCapacity();
  }

  /** Returns the number of tasks that were refused because the ring was full. */
  public long refusedCount() {
    return refused.sum();
  }

  private void handle(Slot slot, long sequence, boolean endOfBatch) {
    Runnable task = slot.task;
    slot.task = null;
    try {
      task.run();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("event=duty_task_failed duty=%s", name);
    }
  }

  /** Stops the thread after the tasks that wait. */
  @Override
  public void close() {
    disruptor.shutdown();
  }

  private static final class Slot {
    private Runnable task;
  }
}
