package org.amaranthstream.idempotency;

import java.util.function.Consumer;

/**
 * A queued page update.
 *
 * @param update the update
 * @param deadlineNanos the time at which the update fails, on the clock of the timers
 * @param consumer the receiver of the result
 */
record PendingUpdate(PageUpdate update, long deadlineNanos, Consumer<PageUpdateResult> consumer) {}
