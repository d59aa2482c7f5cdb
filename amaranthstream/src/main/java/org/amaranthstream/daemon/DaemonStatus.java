package org.amaranthstream.daemon;

/**
 * A summary of the state of a daemon, for operators.
 *
 * @param vm entry VM of the daemon
 * @param zone availability zone of the entry VM
 * @param incarnation incarnation of the process
 * @param configGeneration generation of the active configuration
 * @param platformReachable true if the last call to the key-value service got a response
 * @param platformBehind alarm: true if the service stores an older configuration than the active
 *     one
 * @param activeRequests number of requests without an outcome
 * @param queuedRequests number of requests that wait for a backend server
 * @param decisionQueue number of tasks in the queue of the decision thread
 */
record DaemonStatus(
    String vm,
    String zone,
    String incarnation,
    long configGeneration,
    boolean platformReachable,
    boolean platformBehind,
    int activeRequests,
    int queuedRequests,
    long decisionQueue) {

  static DaemonStatus of(DaemonComponents components) {
    return new DaemonStatus(
        components.self().id().value(),
        components.self().zone().value(),
        components.self().incarnation().value(),
        components.config().current().generation().value(),
        components.config().status().platformReachable(),
        components.config().status().platformBehind(),
        components.dispatcherGauges().active(),
        components.dispatcherGauges().queued(),
        components.threads().decisions().depth());
  }
}
