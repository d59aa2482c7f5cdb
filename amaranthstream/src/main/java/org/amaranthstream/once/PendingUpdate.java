package org.amaranthstream.once;

import java.util.function.Consumer;

/** An order that waits for its page. */
record PendingUpdate(PageUpdate update, long deadlineNanos, Consumer<PageUpdateResult> consumer) {}
