package org.amaranthstream.dispatch;

import org.amaranthstream.membership.BackendDirectory;
import org.amaranthstream.placement.LinkBudget;
import org.amaranthstream.quarantine.PoisonRegistry;

/** The tables, estimates and helpers that the components of one dispatcher share. */
record DispatchContext(
    ServerTable servers,
    ZoneTable zones,
    RequestQuarantine quarantine,
    ServiceEstimates estimates,
    CandidateFinder finder,
    DecisionRecorder recorder) {

  /** Creates the components of a dispatcher with the dependencies {@code parts}. */
  static DispatchContext of(DispatcherParts parts) {
    BackendDirectory directory = parts.directory();
    LinkBudget budget = parts.linkBudget();
    long reportMaxAge = parts.settings().reportMaxAge().toNanos();
    ServerTable servers = new ServerTable(directory, parts.limits(), parts.healths());
    ZoneTable zones = new ZoneTable(directory, parts.region(), budget, reportMaxAge);
    RequestQuarantine quarantine =
        new RequestQuarantine(PoisonRegistry.create(parts.settings().quarantineDuration()));
    return new DispatchContext(
        servers,
        zones,
        quarantine,
        new ServiceEstimates(),
        new CandidateFinder(servers, zones, quarantine, reportMaxAge),
        new DecisionRecorder(parts.decisionLog(), parts.timers()));
  }
}
