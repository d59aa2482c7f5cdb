package org.amaranthstream.once;

import java.util.function.Consumer;

/** An order that waits for its page. */
record PendingOrder(PageOrder order, long deadlineNanos, Consumer<OrderVerdict> consumer) {}
