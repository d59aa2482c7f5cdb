package org.amaranthstream.admission;

/**
 * What an admission decision rests on.
 *
 * @param priority the request's priority
 * @param slackNanos time until the request's deadline, in nanoseconds
 * @param slots requests that the reachable servers of the pool can run at once
 * @param running requests that run
 * @param queuedAhead requests that wait and would go before this one
 * @param queueCapacity requests that may wait
 * @param queued requests that wait, of both priorities
 * @param serviceNanos estimate of the time one request takes on a server, in nanoseconds
 */
public record AdmissionInput(
    Priority priority,
    long slackNanos,
    int slots,
    int running,
    int queuedAhead,
    int queueCapacity,
    int queued,
    long serviceNanos) {}
