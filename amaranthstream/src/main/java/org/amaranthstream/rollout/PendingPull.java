package org.amaranthstream.rollout;

import java.util.function.Consumer;
import org.amaranthstream.result.Result;
import org.amaranthstream.time.Subscription;

/** A pull that waits for a first sample, at most until {@code timeout} fires. */
record PendingPull(
    PullRequest request,
    DeliveryToken token,
    Consumer<Result<Page>> consumer,
    Subscription timeout) {}
