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
 * A duty with a dedicated thread and a ring buffer of fixed size as its queue.
 *
 * <p>Thread safe. A {@link RuntimeException} of a task is logged and does not stop the duty.
 */
public final class DutyThread implements Duty, AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String name;
  private final Disruptor<Slot> disruptor;
  private final RingBuffer<Slot> ring;
  private final LongAdder rejectedTasks = new LongAdder();

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
   * Returns a duty whose thread is running.
   *
   * @param name the name of its thread
   * @param ringSize the maximum number of queued tasks, a power of two
   */
  public static DutyThread start(String name, int ringSize) {
    checkArgument(Integer.bitCount(ringSize) == 1, "ring size is not a power of 2: %s", ringSize);
    return new DutyThread(name, ringSize);
  }

  @Override
  public boolean offer(Runnable task) {
    boolean accepted = ring.tryPublishEvent((slot, sequence, t) -> slot.task = t, task);
    if (!accepted) {
      rejectedTasks.increment();
    }
    return accepted;
  }

  /** Returns the number of queued tasks. */
  public long depth() {
    return ring.getBufferSize() - ring.remainingCapacity();
  }

  /** Returns the number of tasks that were rejected because the ring buffer was full. */
  public long refusedCount() {
    return rejectedTasks.sum();
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

  /** Waits until the queued tasks have run and stops the thread. */
  @Override
  public void close() {
    disruptor.shutdown();
  }

  private static final class Slot {
    private Runnable task;
  }
}
