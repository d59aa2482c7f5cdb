package org.amaranthstream.daemon;

/**
 * The short state of a daemon, for operators.
 *
 * @param vm the entry VM
 * @param zone its availability zone
 * @param incarnation the incarnation of the process
 * @param configGeneration the generation of the configuration in force
 * @param platformReachable true if the last call to the key-value service was answered
 * @param platformBehind alarm: the service holds an older configuration than is in force
 * @param activeRequests requests without an outcome
 * @param queuedRequests requests that wait for a backend server
 * @param decisionQueue tasks that wait for the decision thread
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
        components.loadGauge().active(),
        components.loadGauge().queued(),
        components.threads().decisions().depth());
  }
}
