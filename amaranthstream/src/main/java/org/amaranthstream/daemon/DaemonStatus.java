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

  static DaemonStatus of(Core core) {
    return new DaemonStatus(
        core.self().id().value(),
        core.self().zone().value(),
        core.self().incarnation().value(),
        core.config().current().generation().value(),
        core.config().status().platformReachable(),
        core.config().status().platformBehind(),
        core.dispatcher().active(),
        core.dispatcher().queued(),
        core.threads().decisions().depth());
  }
}
